"""Prefill rate, learned from the prefill times of a simulated engine."""

import random
import unittest

from wisteriaarch.process.prefill_rate import INITIAL_TOKENS_PER_S, PrefillRate

OVERHEAD_S = 0.012


class Engine:
    """Prefills ``rate`` tokens a second, at times fewer; blocks may be cached."""

    def __init__(self, rate, seed):
        self._rate = rate
        self._rng = random.Random(seed)

    def read(self) -> tuple[int, float]:
        """Return the expected number of tokens to prefill, and the time taken."""
        expected = int(self._rng.lognormvariate(8.3, 0.8)) + 500
        read = expected
        draw = self._rng.random()
        if draw < 0.1:
            read = expected // 4
        elapsed_s = OVERHEAD_S + read / self._rate + self._rng.expovariate(500)
        if draw > 0.9:
            elapsed_s *= 5
        return expected, elapsed_s


class PrefillRateTest(unittest.TestCase):
    """Engines of different speeds; a tenth of the prefills slow, a tenth short."""

    RATES = (5_000.0, 50_000.0, 300_000.0)

    def learn(self, engine, rate=None, count=60):
        rate = rate or PrefillRate()
        for _ in range(count):
            rate.observe(*engine.read())
        return rate

    def test_prefill_rate_of_any_engine_is_learned(self):
        for true_rate in self.RATES:
            for seed in range(10):
                with self.subTest(rate=true_rate, seed=seed):
                    value = self.learn(Engine(true_rate, seed)).value
                    self.assertGreater(value, 0.6 * true_rate)
                    self.assertLess(value, 1.5 * true_rate)

    def test_changed_prefill_rate_is_learned(self):
        rate = self.learn(Engine(300_000.0, 1))
        self.learn(Engine(30_000.0, 2), rate)
        self.assertLess(rate.value, 45_000.0)

    def test_few_observations_change_nothing(self):
        rate = self.learn(Engine(300_000.0, 1), count=3)
        self.assertEqual(rate.value, INITIAL_TOKENS_PER_S)
