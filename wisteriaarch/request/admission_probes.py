"""Admits a few calls that are predicted to be overdue, to correct the prediction."""

from ..process.clock import now_s
from .call import CompletionCall
from .length_prediction import similarity_key

PROBE_INTERVAL_S = 5.0


class AdmissionProbes:
    """Times at which similar calls were last admitted.

    Similar calls have the same caller and model and about the same sizes. A refused
    call yields no measurement, so a wrong prediction would refuse all similar calls
    forever. One of them is therefore admitted after ``PROBE_INTERVAL_S`` seconds in
    which all were refused.
    """

    def __init__(self):
        self._admitted_at_s: dict[tuple, float] = {}

    def record_admission(self, call: CompletionCall) -> None:
        """Record that this call was admitted."""
        self._admitted_at_s[similarity_key(call)] = now_s()

    def is_due(self, call: CompletionCall) -> bool:
        """Whether to admit this call, which would otherwise be refused, as a probe."""
        since_s = self._admitted_at_s.setdefault(similarity_key(call), now_s())
        return now_s() - since_s >= PROBE_INTERVAL_S
