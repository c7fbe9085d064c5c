"""The bound of a scheduler that knows the future, on made-up arrivals."""

import json
import unittest

from extras.prefill_bound import PrefillRecord, bound, read_log

RATE = 50_000.0


class ReadingBoundTest(unittest.TestCase):
    def at_best(self, prefills, engines=1):
        return bound(prefills, engines, RATE, objective_s=0.5, rest_s=0.0).at_best

    def test_calm_load_is_served_whole(self):
        calm = [PrefillRecord(float(number), 20_000) for number in range(10)]
        self.assertEqual(self.at_best(calm), 10)

    def test_prompt_longer_than_the_objective_is_never_in_time(self):
        result = bound(
            [PrefillRecord(0.0, 30_000)], 4, RATE, objective_s=0.5, rest_s=0.0
        )
        self.assertEqual((result.too_long, result.at_best), (1, 0))

    def test_burst_is_bounded_by_what_is_read_in_time(self):
        burst = [PrefillRecord(0.0, 5_000) for _ in range(12)]
        self.assertEqual(self.at_best(burst), 5)
        self.assertEqual(self.at_best(burst, engines=2), 10)

    def test_largest_prompts_are_dropped_first(self):
        burst = [
            PrefillRecord(0.0, 20_000),
            *(PrefillRecord(0.01, 5_000) for _ in range(5)),
        ]
        self.assertEqual(self.at_best(burst), 5)

    def test_log_is_read(self):
        placed = {
            "time": "2026-01-01T00:00:01.500000Z",
            "event": 310,
            "request": "a",
            "stage": "prefill",
            "input_tokens": 17_000,
            "own_tokens": 4_000,
            "holding": "held",
        }
        answered = {"time": "x", "event": 312, "request": "a", "status": 200}
        lines = [
            "noise",
            "0.1 entry " + json.dumps(placed),
            json.dumps({**placed, "request": "short", "input_tokens": 300}),
            json.dumps({**answered, "first_s": 0.3}),
        ]
        (reading,) = read_log(lines)
        self.assertEqual((reading.tokens, reading.first_s), (4_000, 0.3))
