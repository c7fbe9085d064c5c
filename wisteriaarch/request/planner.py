"""Plans a completion: which engines read and run it."""

from collections.abc import Callable
from functools import partial

from ..errors import ErrorKind, RequestError
from ..events import EventLog
from ..process.clock import now_s
from ..process.stage_busyness import StageBusyness
from ..process.upstreams import Stage
from .candidate import Candidate, Choice
from .candidate_finder import CandidateFinder
from .reading_forecast import LONG_READING_TOKENS, ReadingForecast
from .routed_call import RoutedCall
from .shared_reading import wait_for_part
from .size_shares import SizeShares
from .stage_plan import MOVE_COST_S, FleetPace, StagePlan, plan_stages
from .urgency import queue_ahead_s

# Callers of streams leave well before the deadline where nothing comes.
PATIENCE_MIN_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
RETURN_MIN_S = 0.3


class CompletionPlanner:
    """Plans completions; one instance serves the whole entry."""

    def __init__(
        self,
        zone: str,
        finder: CandidateFinder,
        busyness: StageBusyness,
        sizes: SizeShares,
        rate_of: Callable[[str], float],
        log: EventLog,
    ):
        self._zone = zone
        self._finder = finder
        self._busyness = busyness
        self._sizes = sizes
        self._rate_of = rate_of
        self._log = log

    async def plan(self, call: RoutedCall) -> StagePlan:
        """Return the plan by which to go now.

        Raises RequestError where the call can't be answered before its caller leaves.
        """
        call.favoured = self._sizes.is_favoured(
            call.call_id, call.route.name, call.prompt.own_tokens
        )
        find = partial(self._finder.now, call)
        rate = self._rate_of(call.service)
        candidates = await wait_for_part(call, find, rate, self._log)
        plan = plan_stages(
            candidates,
            call.prompt,
            self._fleet_pace(call.service, candidates),
            self._zone,
            call.route.pause_s,
        )
        self._refuse_if_hopeless(call, plan)
        return plan

    def _refuse_if_hopeless(self, call: RoutedCall, plan: StagePlan) -> None:
        """Raise RequestError for such a call; it may come back to shorter queues."""
        if plan.prefill is None or plan.prefill.tokens < LONG_READING_TOKENS:
            return
        forecast = self._forecast(call, plan.prefill)
        if not forecast.is_hopeless:
            return
        raise RequestError(
            ErrorKind.UPSTREAM_OVERLOADED,
            f"the first event would take {forecast.first_event_s:.1f} s",
            ran=call.ran,
            retry_after_s=max(RETURN_MIN_S, forecast.queue_s),
        )

    def _fleet_pace(self, service: str, candidates: list[Candidate]) -> FleetPace:
        prefills = sum(item.upstream.stage is Stage.PREFILL for item in candidates)
        decodes = len(candidates) - prefills
        return FleetPace(
            self._rate_of(service),
            self._busyness.share(service, Stage.PREFILL, prefills),
            self._busyness.share(service, Stage.DECODE, decodes),
        )

    def _forecast(self, call: RoutedCall, choice: Choice) -> ReadingForecast:
        candidate = choice.candidate
        rate = self._rate_of(call.service) / candidate.pace
        elapsed_s = now_s() - call.arrived_at_s
        return ReadingForecast(
            queue_s=queue_ahead_s(candidate.prompt_tokens / rate, call.favoured),
            reading_s=choice.tokens / rate,
            running_s=MOVE_COST_S,
            left_s=min(call.remaining_s(), _patience_s(call) - elapsed_s),
        )


def _patience_s(call: RoutedCall) -> float:
    """Return how long a caller is taken to wait for the first event."""
    pause_s = call.route.pause_s or 0.0
    return max(
        PATIENCE_MIN_S,
        PATIENCE_OBJECTIVES * call.route.objective_s,
        PATIENCE_PAUSES * pause_s,
    )
