"""Plans a completion: which engines read and run it, and when."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..errors import ErrorKind, RequestError
from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.stage_busyness import StageBusyness
from ..process.upstreams import Stage
from .candidate import Candidate, Choice
from .candidate_finder import CandidateFinder
from .reading_turn import LONG_READING_TOKENS, ReadingForecast, Turn, choose_turn
from .routed_call import RoutedCall
from .shared_reading import OnWait, ignore_wait, wait_for_part
from .size_shares import SizeShares
from .stage_plan import FleetPace, StagePlan, plan_stages
from .turn_queue import TurnQueue, Waiter
from .urgency import queue_ahead_s

# Callers of streams leave well before the deadline where nothing comes.
PATIENCE_MIN_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
RETURN_MIN_S = 0.3


@dataclass(frozen=True)
class TimedPlan:
    """Plan of a completion, and whether to go by it now."""

    plan: StagePlan
    turn: Turn


class CompletionPlanner:
    """Plans completions; one instance serves the whole entry."""

    def __init__(
        self,
        finder: CandidateFinder,
        busyness: StageBusyness,
        sizes: SizeShares,
        rate_of: Callable[[str], float],
        takeover_s: Callable[[str], float],
        log: EventLog,
    ):
        self._finder = finder
        self._busyness = busyness
        self._sizes = sizes
        self._rate_of = rate_of
        self._takeover_s = takeover_s
        self._log = log
        self._queues: dict[str, TurnQueue[TimedPlan]] = defaultdict(TurnQueue)

    async def plan(
        self,
        call: RoutedCall,
        candidates: list[Candidate],
        on_wait: OnWait = ignore_wait,
    ) -> StagePlan:
        """Return the plan by which to go now; long prompts may wait for their turn.

        ``candidates`` are those of now, ``on_wait`` is called before the first wait.
        Raises RequestError where the call can't be answered before its caller leaves.
        """
        call.favoured = self._sizes.is_favoured(
            call.call_id, call.route.name, call.prompt.own_tokens
        )
        find = partial(self._finder.now, call)
        decision = self._decide(call, candidates, comes_now=True)
        if decision.turn is not Turn.HOPELESS:
            decision = await self._wait_for_part(
                call, decision, candidates, find, on_wait
            )
        if decision.turn is Turn.LATER or self._is_behind_others(call, decision):
            await on_wait()
            decision = await self._wait_for_turn(call, decision.plan, find)
        if decision.turn is Turn.HOPELESS:
            raise self._refusal(call, decision.plan)
        return decision.plan

    async def _wait_for_part(
        self,
        call: RoutedCall,
        decision: TimedPlan,
        candidates: list[Candidate],
        find: Callable[[], list[Candidate]],
        on_wait: OnWait,
    ) -> TimedPlan:
        """Return the decision once no part that is being read is worth waiting for."""
        rate = self._rate_of(call.service)
        later = await wait_for_part(call, candidates, find, rate, self._log, on_wait)
        return decision if later is candidates else self._decide(call, later)

    def queue_length(self, service: str) -> int:
        """Return how many prompts of a service wait for their turn."""
        return len(self._queues[service])

    def _is_behind_others(self, call: RoutedCall, decision: TimedPlan) -> bool:
        """Whether a long prompt would go before those that wait already."""
        if not self.queue_length(call.service) or decision.turn is Turn.HOPELESS:
            return False
        choice = decision.plan.prefill
        return choice is not None and choice.tokens >= LONG_READING_TOKENS

    async def _wait_for_turn(
        self, call: RoutedCall, plan: StagePlan, find: Callable[[], list[Candidate]]
    ) -> TimedPlan:
        began_at_s = now_s()

        def decide() -> TimedPlan | None:
            decision = self._decide(call, find())
            return None if decision.turn is Turn.LATER else decision

        self._note_demand(call, plan.prefill)
        forecast = self._forecast(call, plan.prefill)
        soonest_s = forecast.reading_s + forecast.running_s
        waiter = Waiter(
            call.arrived_at_s,
            timely_until_s=began_at_s + forecast.aim_left_s - soonest_s,
            hopeless_at_s=began_at_s + forecast.left_s - soonest_s,
            favoured=call.favoured,
            tokens=plan.prefill.tokens,
            fleet_rate=self._fleet_rate(call.service, find()),
            decide=decide,
            refuse=lambda: TimedPlan(plan, Turn.HOPELESS),
        )
        decision = await self._queues[call.service].wait(waiter)
        self._log.write(
            Event.CALL_DEFERRED,
            request=call.call_id,
            seconds=now_s() - began_at_s,
            reason=decision.turn.value,
        )
        return decision

    def _turn_s(
        self, call: RoutedCall, choice: Choice, candidates: list[Candidate]
    ) -> float:
        """Return how long a prompt that comes now waits for its turn."""
        return self._queues[call.service].wait_s(
            (not call.favoured, call.arrived_at_s),
            self._timely_for_s(call, choice),
            self._fleet_rate(call.service, candidates),
        )

    def _timely_for_s(self, call: RoutedCall, choice: Choice) -> float:
        """Return within what time a call must start to be in time."""
        forecast = self._forecast(call, choice)
        return forecast.aim_left_s - forecast.reading_s - forecast.running_s

    def _fleet_rate(self, service: str, candidates: list[Candidate]) -> float:
        """Return how many tokens the engines of the reading stage read in a second."""
        readers = sum(item.upstream.stage is Stage.PREFILL for item in candidates)
        return max(1, readers) * self._rate_of(service)

    def _note_demand(self, call: RoutedCall, choice: Choice) -> None:
        """Count the reading of a prompt that waits: stages follow what is asked for."""
        reading_s = choice.tokens / self._rate_of(call.service)
        self._busyness.note(call.service, Stage.PREFILL, reading_s)
        call.demand_noted = True

    def _refusal(self, call: RoutedCall, plan: StagePlan) -> RequestError:
        """Return the error of a hopeless call; it may come back to shorter queues."""
        turn_s = self._turn_s(call, plan.prefill, self._finder.now(call))
        forecast = self._forecast(call, plan.prefill, turn_s)
        return RequestError(
            ErrorKind.UPSTREAM_OVERLOADED,
            f"the first event would take {forecast.first_event_s:.1f} s",
            ran=call.ran,
            retry_after_s=max(RETURN_MIN_S, forecast.turn_s + forecast.queue_s),
        )

    def _decide(
        self, call: RoutedCall, candidates: list[Candidate], comes_now: bool = False
    ) -> TimedPlan:
        """Return what becomes of a call; those that wait go before one just come."""
        plan = plan_stages(
            candidates,
            call.prompt,
            self._fleet_pace(call, candidates),
            call.zone,
            call.route.pause_s,
        )
        choice = plan.prefill
        if choice is None or choice.tokens < LONG_READING_TOKENS:
            return TimedPlan(plan, Turn.IN_TIME)
        turn_s = self._turn_s(call, choice, candidates) if comes_now else 0.0
        others_wait = self.queue_length(call.service) > 0
        turn = choose_turn(self._forecast(call, choice, turn_s), others_wait)
        if comes_now and turn is not Turn.HOPELESS:
            self._note_taken(call, choice, candidates)
        return TimedPlan(plan, turn)

    def _note_taken(
        self, call: RoutedCall, choice: Choice, candidates: list[Candidate]
    ) -> None:
        """Count a call that comes and isn't refused, whether it will wait or not."""
        self._queues[call.service].note_taken(
            choice.tokens,
            self._timely_for_s(call, choice),
            self._fleet_rate(call.service, candidates),
        )

    def _fleet_pace(self, call: RoutedCall, candidates: list[Candidate]) -> FleetPace:
        service = call.service
        rate = self._rate_of(service)
        order = (not call.favoured, call.arrived_at_s)
        queued_tokens = self._queues[service].tokens_before(order)
        prefills = sum(item.upstream.stage is Stage.PREFILL for item in candidates)
        decodes = len(candidates) - prefills
        return FleetPace(
            rate,
            self._busyness.share(service, Stage.PREFILL, prefills),
            self._busyness.share(service, Stage.DECODE, decodes),
            queued_tokens / (max(1, prefills) * rate),
            self._takeover_s(service),
        )

    def _forecast(
        self, call: RoutedCall, choice: Choice, turn_s: float = 0.0
    ) -> ReadingForecast:
        candidate = choice.candidate
        rate = self._rate_of(call.service) / candidate.pace
        elapsed_s = now_s() - call.arrived_at_s
        return ReadingForecast(
            queue_s=queue_ahead_s(candidate.prompt_tokens / rate, call.favoured),
            reading_s=choice.tokens / rate,
            running_s=self._takeover_s(call.service),
            aim_left_s=call.route.objective_s - elapsed_s,
            left_s=min(call.remaining_s(), _patience_s(call) - elapsed_s),
            turn_s=turn_s,
        )


def _patience_s(call: RoutedCall) -> float:
    """Return how long a caller is taken to wait for the first event."""
    pause_s = call.route.pause_s or 0.0
    return max(
        PATIENCE_MIN_S,
        PATIENCE_OBJECTIVES * call.route.objective_s,
        PATIENCE_PAUSES * pause_s,
    )
