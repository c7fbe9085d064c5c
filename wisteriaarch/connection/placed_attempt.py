"""Attempt of another entry, as the scheduler that placed it accounts for it."""

from ..process.clock import now_s
from ..process.upstream_loads import UpstreamLoad
from ..request.attempt_outcome import AttemptStage
from ..request.candidate import Choice
from ..request.estimate_updater import EstimateUpdater
from ..request.routed_call import RoutedCall
from ..request.scheduler import Scheduler

# An attempt without a reported outcome counts as in flight for this time after its
# call's deadline.
OUTCOME_GRACE_S = 0.5


class PlacedAttempt:
    """Attempt of another entry that was placed here and counts as in flight.

    With ``prefills_here``, the attempt's upstream also prefills the prompt.
    """

    def __init__(
        self, call: RoutedCall, choice: Choice, stage: AttemptStage, prefills_here: bool
    ):
        self.call = call
        self.choice = choice
        self.stage = stage
        self.prefills_here = prefills_here
        self.placed_at_s = now_s()
        self._tokens = choice.prefill_tokens if prefills_here else 0
        self._load: UpstreamLoad | None = None

    def begin(self, scheduler: Scheduler, estimate_updater: EstimateUpdater) -> None:
        """Count the attempt as in flight."""
        loads = scheduler.parts.estimates.loads
        upstream_id = self.choice.candidate.upstream.upstream_id
        self._load = loads.begin(upstream_id, self._tokens)
        if self.prefills_here:
            estimate_updater.observe_placement(self.call, self.choice, self.stage)
        else:
            estimate_updater.observe_decode_placement(self.call, self.choice)

    def end(self) -> None:
        """Stop counting the attempt as in flight; may be called more than once."""
        if self._load is not None:
            self._load.end(self._tokens)
            self._load = None

    @property
    def is_overdue(self) -> bool:
        """Whether the outcome should have been reported by now."""
        return now_s() > self.call.deadline_at_s + OUTCOME_GRACE_S
