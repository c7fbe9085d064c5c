"""Admission: infeasible calls are refused at once, with a time that then works."""

import unittest
from unittest import mock

from wisteriaarch.errors import ErrorKind, RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.request.admission import Admission
from wisteriaarch.request.length_prediction import PercentilePredictor
from wisteriaarch.request.scoring import Candidate

from .policy_support import make_call, make_views


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.completion_s = 1.0
        self.work_s = 0.4
        self.view = make_views(1)[0]
        self.admission = Admission(1000, self.score_upstreams)
        self.now = now_s()
        for name in ("retry_reservations", "decaying_peak", "admission_probes", "call"):
            module = f"request.{name}"
            patch = mock.patch(f"wisteriaarch.{module}.now_s", lambda: self.now)
            self.enterContext(patch)

    def score_upstreams(self, call):
        return [
            Candidate(self.view, self.completion_s, 0.0, self.completion_s, self.work_s)
        ]

    def refusal(self, call):
        with self.assertRaises(RequestError) as caught, self.admission.admit(call):
            pass
        return caught.exception

    def hold(self, call):
        self.enterContext(self.admission.admit(call))

    def make_call(self, prompt="p", **caller):
        call = make_call(prompt, **caller)
        call.deadline_at_s = self.now + 5.0
        return call

    def test_infeasible_call_is_refused_with_a_retry_delay(self):
        self.completion_s = 7.0
        refusal = self.refusal(self.make_call())
        self.assertEqual(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertGreaterEqual(refusal.retry_after_s, 2.0)

    def test_retry_after_a_refusal_uses_its_reservation(self):
        self.completion_s = 5.0
        waits = [self.refusal(self.make_call(f"p{n}")).retry_after_s for n in range(4)]
        self.assertEqual(waits, sorted(set(waits)), "the promised times must differ")
        self.now += waits[0]
        self.completion_s = 4.4
        self.refusal(self.make_call("a newcomer"))
        self.hold(self.make_call("p0"))

    def test_small_caller_is_admitted_beside_one_beyond_its_share(self):
        for number in range(9):
            self.hold(self.make_call(f"large {number}", name="large"))
        self.hold(self.make_call("small", name="small"))
        self.completion_s = 4.0
        self.hold(self.make_call("small again", name="small"))
        refusal = self.refusal(self.make_call("large again", name="large"))
        self.assertEqual(refusal.kind, ErrorKind.OVERLOADED)

    def test_unused_share_is_usable_by_other_callers(self):
        self.hold(self.make_call("small", name="small"))
        for number in range(9):
            self.hold(self.make_call(f"large {number}", name="large"))
        self.completion_s = 4.4
        self.hold(self.make_call("large again", name="large"))

    def test_infeasible_calls_are_admitted_as_probes_now_and_then(self):
        self.completion_s = 7.0
        for number in range(5):
            self.refusal(self.make_call(f"refused {number}"))
            self.now += 1.0
        self.hold(self.make_call("probe"))
        self.refusal(self.make_call("refused again"))
        self.refusal(self.make_call("refused " * 500))

    def test_unknown_output_length_is_predicted_short(self):
        call = make_call(max_tokens=100_000)
        predictor = PercentilePredictor()
        self.assertLess(predictor.predict(call), 100)
        for _ in range(8):
            predictor.observe(call, 700)
        self.assertEqual(predictor.predict(call), 700)
