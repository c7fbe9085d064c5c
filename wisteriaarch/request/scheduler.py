"""Places calls on the upstreams of a service, on all that is known here.

The entry that schedules a service knows all that is in flight there and places for
every entry. Any other entry places with the same decisions on its own knowledge, where
it reaches no scheduler.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..errors import ErrorKind, RequestError
from ..events import EventLog
from ..process.clock import now_s
from ..process.fleet_knowledge import FleetKnowledge
from ..process.upstreams import Upstream
from ..version.route_table import RouteTable
from .candidate import Choice, can_run
from .candidate_finder import CandidateFinder
from .outcomes import AttemptFailed, FailureReason
from .placement import place_decode, place_service_call
from .planner import CompletionPlanner
from .retry_share import RetryShare
from .routed_call import RoutedCall
from .shared_reading import OnWait, ignore_wait
from .size_shares import SizeShares
from .stage_plan import StagePlan

RETRY_AFTER_S = 0.3
# A service without calls here for so long has had them placed elsewhere.
ELSEWHERE_AFTER_S = 3.0


@dataclass(frozen=True)
class SchedulingParts:
    """What the schedulers of one entry have in common."""

    knowledge: FleetKnowledge
    finder: CandidateFinder
    planner: CompletionPlanner
    sizes: SizeShares

    @classmethod
    def from_knowledge(
        cls,
        knowledge: FleetKnowledge,
        routes: Callable[[], RouteTable | None],
        log: EventLog,
    ) -> "SchedulingParts":
        """Put the parts together on what an entry knows."""
        finder = CandidateFinder(knowledge, routes)
        sizes = SizeShares()
        planner = CompletionPlanner(
            finder,
            knowledge.busyness,
            sizes,
            knowledge.rate_of,
            knowledge.takeover_s,
            log,
        )
        return cls(knowledge, finder, planner, sizes)


class Scheduler:
    """Places calls, and repeats of calls as far as ``retries`` allows them."""

    def __init__(self, parts: SchedulingParts, retries: RetryShare):
        self._parts = parts
        self._placed_at_s: dict[str, float] = {}
        self.retries = retries

    @property
    def parts(self) -> SchedulingParts:
        """What this scheduler shares with others of the same entry."""
        return self._parts

    async def place(self, call: RoutedCall, on_wait: OnWait = ignore_wait) -> StagePlan:
        """Return which engines read and run a call now; may wait for its turn.

        Raises RequestError for a call that is refused, AttemptFailed where no upstream
        can be named now.
        """
        self._count(call)
        self._note_takeover(call.service)
        candidates = await self._parts.finder.find(call)
        if not any(can_run(item) for item in candidates):
            raise self._no_upstream(call)
        call.repeats_left = self.retries.left(call.service)
        if call.prompt is None or self._parts.finder.engine_of(call.service) is None:
            return StagePlan(None, place_service_call(candidates, call.zone))
        plan = await self._parts.planner.plan(call, candidates, on_wait)
        if plan.prefill is None and plan.decode is None:
            raise AttemptFailed(FailureReason.NOTHING_SENT, "no engine is left")
        if plan.prefill is not None and not self.retries.take_for_reading(
            call.service, call.prompts_read
        ):
            return replace(plan, prefill=None)
        return plan

    def _note_takeover(self, service: str) -> None:
        """Take in that a service's calls come here after they went elsewhere."""
        now = now_s()
        placed_at_s = self._placed_at_s.get(service, float("-inf"))
        self._placed_at_s[service] = now
        if now - placed_at_s > ELSEWHERE_AFTER_S:
            self._parts.knowledge.cache.begin_anew()

    def _count(self, call: RoutedCall) -> None:
        """Count a call, or take one of the repeats; raises RequestError."""
        if call.placements == 0:
            self.retries.note_request(call.service)
        elif not self.retries.take(call.service):
            raise RequestError(
                ErrorKind.UPSTREAM_OVERLOADED,
                "too many requests are being repeated",
                ran=call.ran,
                retry_after_s=RETRY_AFTER_S,
            )

    def _no_upstream(self, call: RoutedCall) -> RequestError:
        return RequestError(
            ErrorKind.NO_UPSTREAM,
            "no upstream of the service is left",
            ran=call.ran,
            retry_after_s=max(RETRY_AFTER_S, self._shortest_wait_s(call.service)),
        )

    def _shortest_wait_s(self, service: str) -> float:
        """Return when the first of the upstreams that asked for it takes work again."""
        knowledge = self._parts.knowledge
        waits = (
            knowledge.loads.of(item.upstream_id).health.wait_left_s(now_s())
            for item in knowledge.registry.usable(service)
        )
        return min((wait_s for wait_s in waits if wait_s > 0), default=0.0)

    def place_run(self, call: RoutedCall, reader: Upstream) -> Choice:
        """Return the engine that runs a prompt which ``reader`` has read.

        Raises AttemptFailed where there is none.
        """
        runners = self._parts.finder.now(call, without=reader.stage)
        rate = self._parts.knowledge.rate_of(call.service)
        choice = place_decode(runners, call.prompt, rate, reader.zone)
        if choice is None:
            raise AttemptFailed(FailureReason.NOTHING_SENT, "no engine runs prompts")
        return choice
