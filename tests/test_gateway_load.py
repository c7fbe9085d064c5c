"""Answers of an entry while prompts are queued at the engines."""

import threading
import time

from extras.cluster import request, wait_until
from extras.gateway_cluster import is_ready

from .gateway_support import GatewayTestCase

# Takes an engine 1.2 s to read.
LONG_TOKENS = 60_000
REFUSED_WITHIN_S = 0.3
IN_FLIGHT = "wisteriaarch_prompt_tokens_in_flight{"


class QueueTest(GatewayTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.gateway = cls.cluster.start_gateway(3, change_stages=False)
        wait_until(lambda: is_ready(cls.gateway))

    def send_long(self, name):
        parts = f"{name.encode().hex()[:16]}:{LONG_TOKENS}"
        return self.send_prompt("/chat/x", name, LONG_TOKENS, Prefix_Hash=parts)

    def queue(self, name):
        """Occupy the only prefill engine with a long prompt."""
        thread = threading.Thread(target=self.send_long, args=(name,))
        thread.start()
        self.addCleanup(thread.join)
        wait_until(lambda: self.tokens_in_flight() >= LONG_TOKENS)

    def tokens_in_flight(self) -> float:
        text = request(self.gateway.metrics_address, "GET", "/metrics").body.decode()
        lines = [line for line in text.splitlines() if line.startswith(IN_FLIGHT)]
        return sum(float(line.split()[-1]) for line in lines)

    def test_prompt_that_no_engine_can_prefill_in_time_is_refused_at_once(self):
        """A long prompt arrives while the only prefill engine works on another one."""
        self.queue("first")
        asked_at_s = time.monotonic()
        answer = self.send_long("second")
        self.assertLess(time.monotonic() - asked_at_s, REFUSED_WITHIN_S)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["x-ran"], "no")
        self.assertEqual(self.ran("second"), [])
        retry_after_s = float(answer.headers["retry-after"])
        self.assertGreater(retry_after_s, 1.0)
        time.sleep(retry_after_s)
        self.assertEqual(self.send_prompt("/chat/x", "second-again", 9000).status, 200)

    def test_short_prompt_is_served_beside_a_queue_of_long_ones(self):
        """A short prompt arrives while the only prefill engine works on a long one."""
        self.queue("long")
        self.assertEqual(self.send_prompt("/chat/x", "short", 400).status, 200)
