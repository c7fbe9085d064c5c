"""Settings and key checks of an entry, for tests without a network."""

import json

from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.metrics import Metrics
from wisteriaarch.process.settings_models import parse_model
from wisteriaarch.request.key_check import KeyCheck

REQUIRED = {
    "entry_id": "127.0.0.2",
    "zone": "z1",
    "front": "127.0.0.2:1",
    "ready": "127.0.0.2:2",
    "directory": "127.0.0.2:3",
    "store": "127.0.0.2:4",
    "peer_port": 5,
}


def make_settings(**more) -> GatewaySettings:
    """Return settings of an entry with ``more`` fields."""
    text = json.dumps({**REQUIRED, **more})
    return parse_model(GatewaySettings, text, "settings.json")


def check_for(table) -> KeyCheck:
    """Return the check of an entry with usual settings and a configuration in force."""
    settings = make_settings()
    return KeyCheck(lambda: settings, lambda: table, lambda: None, Metrics())
