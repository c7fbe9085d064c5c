"""Plans a completion: which engines read and run it, and when."""

import random
from collections.abc import Callable
from functools import partial

import curio

from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.stage_busyness import StageBusyness
from ..process.upstreams import Stage
from .candidate import Candidate, Choice
from .candidate_finder import CandidateFinder
from .reading_turn import LONG_READING_TOKENS, ReadingForecast, Turn, choose_turn
from .routed_call import RoutedCall
from .shared_reading import wait_for_part
from .stage_plan import MOVE_COST_S, FleetPace, StagePlan, plan_stages

POLL_MIN_S = 0.01
POLL_MAX_S = 0.03
# Callers of streams leave well before the deadline where nothing comes.
PATIENCE_MIN_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0


class CompletionPlanner:
    """Plans completions; one instance serves the whole entry."""

    def __init__(
        self,
        zone: str,
        finder: CandidateFinder,
        busyness: StageBusyness,
        rate: Callable[[], float],
        log: EventLog,
    ):
        self._zone = zone
        self._finder = finder
        self._busyness = busyness
        self._rate = rate
        self._log = log

    async def plan(self, call: RoutedCall) -> StagePlan:
        """Return the plan by which to go now; long prompts may wait for their turn."""
        find = partial(self._finder.now, call)
        candidates = await wait_for_part(call, find, self._rate(), self._log)
        plan = self._plan(call, candidates)
        turn = self._turn(call, plan)
        if turn is not Turn.LATER:
            return plan
        began_at_s = now_s()
        while turn is Turn.LATER:
            await curio.sleep(random.uniform(POLL_MIN_S, POLL_MAX_S))
            plan = self._plan(call, find())
            turn = self._turn(call, plan)
        self._log.write(
            Event.CALL_DEFERRED,
            request=call.call_id,
            seconds=now_s() - began_at_s,
            reason=turn.value,
        )
        return plan

    def _plan(self, call: RoutedCall, candidates: list[Candidate]) -> StagePlan:
        return plan_stages(
            candidates,
            call.prompt,
            self._fleet_pace(candidates),
            self._zone,
            call.route.pause_s,
        )

    def _fleet_pace(self, candidates: list[Candidate]) -> FleetPace:
        prefills = sum(item.upstream.stage is Stage.PREFILL for item in candidates)
        decodes = len(candidates) - prefills
        return FleetPace(
            self._rate(),
            self._busyness.share(Stage.PREFILL, prefills),
            self._busyness.share(Stage.DECODE, decodes),
        )

    def _turn(self, call: RoutedCall, plan: StagePlan) -> Turn:
        choice = plan.prefill
        if choice is None or choice.tokens < LONG_READING_TOKENS:
            return Turn.IN_TIME
        return choose_turn(self._forecast(call, choice))

    def _forecast(self, call: RoutedCall, choice: Choice) -> ReadingForecast:
        candidate = choice.candidate
        rate = self._rate() / candidate.pace
        elapsed_s = now_s() - call.arrived_at_s
        return ReadingForecast(
            queue_s=candidate.prompt_tokens / rate,
            reading_s=choice.tokens / rate,
            running_s=MOVE_COST_S,
            aim_left_s=call.route.objective_s - elapsed_s,
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
