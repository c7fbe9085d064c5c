"""Placement of calls by the entries that schedule their services.

If no scheduler answers within its timeout, this entry places the call by its own
estimates.
"""

from collections.abc import Callable

import curio

from ..event_log import EventLog
from ..process.clock import now_s
from ..process.prefix_cache_index import CacheState
from ..process.registration_wait import wait_for_registrations
from ..process.scheduler_choice import SchedulerChoice
from ..process.upstreams import Upstream, UpstreamRegistry
from ..request.attempt_failures import AttemptFailed
from ..request.attempt_outcome import ABANDONED, AttemptOutcome
from ..request.candidate import Candidate, Choice
from ..request.placer import DecodePlacement, NoTicket, OwnTicket, Placement
from ..request.routed_call import RoutedCall
from ..request.scheduler import Scheduler
from ..request.stage_plan import StagePlan
from ..wire import Address
from .scheduler_link import Answer, RemoteTicket, SchedulerLink
from .scheduling_messages import PlacedAnswer, PlacedChoice, RefusedAnswer

SCHEDULERS_QUERIED_MAX = 2


class FleetPlacer:
    """Places calls through the entry that schedules their service.

    ``shared_scheduler`` places the calls of all entries to the services that this entry
    schedules; ``fallback_scheduler`` places only this entry's own calls and is used if
    no scheduler answers. ``address_of`` returns the peer address of an entry.
    """

    def __init__(
        self,
        own_id: str,
        scheduler_choice: SchedulerChoice,
        registry: UpstreamRegistry,
        shared_scheduler: Scheduler,
        fallback_scheduler: Scheduler,
        address_of: Callable[[str], Address],
        log: EventLog,
    ):
        self._own_id = own_id
        self._scheduler_choice = scheduler_choice
        self._registry = registry
        self._shared_scheduler = shared_scheduler
        self._fallback_scheduler = fallback_scheduler
        self._address_of = address_of
        self._stream_software = shared_scheduler.parts.stream_software
        self._log = log
        self._links: dict[str, SchedulerLink] = {}
        self.last_answered_at_s = float("-inf")

    async def place(self, call: RoutedCall) -> Placement:
        """Return the placement of a call; raises RequestError or AttemptFailed."""
        if call.resume_after is not None and call.software is None:
            call.software = await self._stream_software.find_placed(call)
        scheduler = self._fallback_scheduler
        for name in self._scheduler_choice.ranked(call.service)[
            :SCHEDULERS_QUERIED_MAX
        ]:
            if name == self._own_id:
                scheduler = self._shared_scheduler
                break
            answered = await self._query(name, call, "")
            if answered is not None:
                self._record_request(call)
                return await self._placement_from_answer(call, *answered)
        if scheduler is self._shared_scheduler:
            self._record_request(call)
        plan = await scheduler.place(call)
        if call.may_be_placed:
            await self._stream_software.wait_until_recorded(call)
        return Placement(plan, NoTicket() if plan.prefill else self._own_ticket(call))

    def _own_ticket(self, call: RoutedCall) -> OwnTicket:
        return OwnTicket(call, self._stream_software)

    def _record_request(self, call: RoutedCall) -> None:
        """Count a call in the retry budget of the fallback scheduler, once per call."""
        if call.placements == 0:
            self._fallback_scheduler.retries.record_request(call.service)

    async def place_decode(
        self, call: RoutedCall, prefill_engine: Upstream
    ) -> DecodePlacement:
        """Return the engine to decode on after prefill; raises AttemptFailed.

        ``prefill_engine`` has prefilled the prompt.
        """
        for name in self._scheduler_choice.ranked(call.service)[
            :SCHEDULERS_QUERIED_MAX
        ]:
            if name == self._own_id:
                break
            answered = await self._query(name, call, prefill_engine.upstream_id)
            if answered is not None:
                placement = await self._placement_from_answer(call, *answered)
                return DecodePlacement(placement.plan.decode, placement.ticket)
        choice = await self._fallback_scheduler.place_decode(call, prefill_engine)
        return DecodePlacement(choice, self._own_ticket(call))

    async def _query(
        self, name: str, call: RoutedCall, prefill_engine_id: str
    ) -> tuple[Answer, RemoteTicket] | None:
        link = self._links.get(name)
        if link is None:
            link = SchedulerLink(self._address_of(name), self._log)
            self._links[name] = link
        if link.is_in_backoff:
            return None
        answered = await link.query(call, prefill_engine_id)
        if answered is not None:
            self.last_answered_at_s = now_s()
        return answered

    async def _placement_from_answer(
        self, call: RoutedCall, answer: Answer, ticket: RemoteTicket
    ) -> Placement:
        if isinstance(answer, RefusedAnswer):
            if answer.error is None:
                raise AttemptFailed.nothing_sent(answer.detail)
            answer.error.ran = call.ran
            raise answer.error
        try:
            await self._wait_until_known(answer)
        except curio.CancelledError:
            await ticket.observe_outcome(AttemptOutcome(ABANDONED, 0.0))
            raise
        call.prioritized = answer.prioritized
        call.retries_left = answer.retries_left
        self._shared_scheduler.parts.estimates.set_prefill_rate(
            call.service, answer.prefill_rate
        )
        plan = StagePlan(
            self._local_choice(call, answer.prefill),
            self._local_choice(call, answer.decode),
        )
        first_choice = plan.prefill if answer.prefill is not None else plan.decode
        if first_choice is None:
            chosen = answer.prefill or answer.decode
            call.tried_upstreams.add(chosen.upstream_id)
            await ticket.observe_outcome(AttemptOutcome(ABANDONED, 0.0))
            raise AttemptFailed.nothing_sent("the upstream isn't usable here")
        return Placement(plan, ticket)

    async def _wait_until_known(self, answer: PlacedAnswer) -> None:
        """Wait briefly where the scheduler has read registrations before this entry."""
        chosen = [item for item in (answer.prefill, answer.decode) if item is not None]

        def are_known() -> bool:
            return all(self._registry.get(item.upstream_id) for item in chosen)

        await wait_for_registrations(self._registry, are_known)

    def _local_choice(
        self, call: RoutedCall, placed: PlacedChoice | None
    ) -> Choice | None:
        """Return a choice with its local upstream; None if it isn't usable here."""
        if placed is None:
            return None
        upstream = self._registry.get_usable(placed.upstream_id)
        loads = self._shared_scheduler.parts.estimates.loads
        if upstream is None or loads.is_in_backoff(placed.upstream_id):
            return None
        if not call.may_run_on(upstream.software):
            return None
        candidate = Candidate(
            upstream,
            placed.requests,
            placed.prompt_tokens,
            placed.slowdown,
            cache_state=CacheState(placed.cache_state),
            cached_prefix_tokens=placed.cached_prefix_tokens,
        )
        source = self._registry.get(placed.fetch_from_id)
        return Choice(candidate, placed.cost_s, source, placed.prefill_tokens)

    async def close(self) -> None:
        """Close the connections to schedulers."""
        for link in self._links.values():
            await link.close()
