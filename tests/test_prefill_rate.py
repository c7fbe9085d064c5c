"""Speed at which engines read prompts, learnt from readings of a simulated engine."""

import random
import unittest

from wisteriaarch.process.prefill_rate import INITIAL_TOKENS_PER_S, PrefillRate

OVERHEAD_S = 0.012


class Engine:
    """Reads at ``rate`` tokens a second, slower at times; parts may be in memory."""

    def __init__(self, rate, seed):
        self._rate = rate
        self._rng = random.Random(seed)

    def read(self) -> tuple[int, float]:
        """Return how many tokens were expected to be read, and the time it took."""
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
    """Load: engines of unlike deployments, a tenth of readings slow, a tenth short."""

    RATES = (5_000.0, 50_000.0, 300_000.0)

    def learn(self, engine, rate=None, count=60):
        rate = rate or PrefillRate()
        for _ in range(count):
            rate.observe(*engine.read())
        return rate

    def test_speed_of_any_engine_is_learnt(self):
        for true_rate in self.RATES:
            for seed in range(10):
                with self.subTest(rate=true_rate, seed=seed):
                    value = self.learn(Engine(true_rate, seed)).value
                    self.assertGreater(value, 0.6 * true_rate)
                    self.assertLess(value, 1.5 * true_rate)

    def test_new_speed_is_learnt_when_engines_are_exchanged(self):
        rate = self.learn(Engine(300_000.0, 1))
        self.learn(Engine(30_000.0, 2), rate)
        self.assertLess(rate.value, 45_000.0)

    def test_few_readings_say_nothing(self):
        rate = self.learn(Engine(300_000.0, 1), count=3)
        self.assertEqual(rate.value, INITIAL_TOKENS_PER_S)
