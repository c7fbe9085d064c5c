"""Settings are refused where a relation that the design depends on doesn't hold."""

import json
import unittest

from wisteriaarch.errors import ConfigError
from wisteriaarch.process.settings import EntrySettings
from wisteriaarch.process.settings_models import parse_model

REQUIRED = {
    "entry_id": "entry-1",
    "zone": "bog-norte",
    "listen": {"port": 0},
    "peer_listen": {"port": 0},
    "platform": {"port": 1},
}
LEASE = {"term_s": 2.0, "renew_every_s": 1.5, "drift_margin_s": 0.25}


class SettingsTest(unittest.TestCase):
    def parse(self, more: dict) -> EntrySettings:
        text = json.dumps({**REQUIRED, **more})
        return parse_model(EntrySettings, text, "settings.json")

    def test_relations_are_checked_at_their_bounds(self):
        slow_polls = {"freshness_bound_s": 3.0, "heartbeat_every_s": 0.1}
        slow_peers = {"freshness_bound_s": 3.0, "head_poll_every_s": 0.1}
        for accepted, refused, name, words in (
            (
                {"lease": LEASE},
                {"lease": {**LEASE, "drift_margin_s": 0.5}},
                "lease.term_s",
                "got 2; expected more than lease.renew_every_s + lease.drift_margin_s",
            ),
            (
                {**slow_polls, "head_poll_every_s": 2.4},
                {**slow_polls, "head_poll_every_s": 2.5},
                "freshness_bound_s",
                "got 3; expected more than head_poll_every_s with its jitter of 20%",
            ),
            (
                {**slow_peers, "heartbeat_every_s": 2.9},
                {**slow_peers, "heartbeat_every_s": 3.0},
                "freshness_bound_s",
                "got 3; expected more than heartbeat_every_s (3 s)",
            ),
            (
                {"load_poll_every_s": 3.9},
                {"load_poll_every_s": 4.0},
                "load_poll_every_s",
                "got 4; expected less than the maximum age of a load report",
            ),
        ):
            with self.subTest(name, words=words):
                self.parse(accepted)
                with self.assertRaises(ConfigError) as caught:
                    self.parse(refused)
                message = f"settings.json: field {name!r}: {words}"
                self.assertTrue(str(caught.exception).startswith(message))

    def test_every_relation_that_fails_is_named(self):
        with self.assertRaises(ConfigError) as caught:
            self.parse({"lease": {"term_s": 0.5}, "freshness_bound_s": 0.2})
        self.assertEqual(str(caught.exception).count("expected more than"), 3)
