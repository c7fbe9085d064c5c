"""Has calls placed by the entries that schedule their services.

Where none answers in time, this entry places the call by what it knows itself.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import curio

from ..errors import WisteriaError
from ..events import Event, EventLog
from ..process.cache_belief import Holding
from ..process.clock import now_s
from ..process.scheduler_choice import SchedulerChoice
from ..process.upstreams import Upstream, UpstreamRegistry
from ..request.attempt_outcome import LEFT, AttemptOutcome
from ..request.candidate import Candidate, Choice
from ..request.outcomes import AttemptFailed
from ..request.placer import NoTicket, Placement, RunPlacement
from ..request.routed_call import RoutedCall
from ..request.scheduler import Scheduler
from ..request.stage_plan import StagePlan
from ..wire import Address
from .message_link import MessageLink
from .scheduling_messages import (
    Message,
    OutcomeReport,
    PlacedAnswer,
    PlacedChoice,
    PlaceQuestion,
    RefusedAnswer,
    WaitingNotice,
    WithdrawnNotice,
)

ANSWER_TIMEOUT_S = 0.1
CONNECT_TIMEOUT_S = 0.06
# A scheduler that didn't answer, or can't be reached, isn't asked again for so long.
UNANSWERED_PAUSE_S = 0.25
UNREACHED_PAUSE_S = 1.0
# Questions in a row without an answer after which a connection is taken for silent.
UNANSWERED_MAX = 3
ASKED_MAX = 2

Answer = PlacedAnswer | RefusedAnswer


@dataclass(frozen=True)
class RemoteTicket:
    """Tells the scheduler that placed an attempt how it ended."""

    link: MessageLink
    number: int

    async def ended(self, outcome: AttemptOutcome) -> None:
        """Report the end; what a broken connection loses is counted out there."""
        await self.link.send(OutcomeReport(self.number, outcome))


class SchedulerLink:
    """Connection to one scheduler, opened as needed."""

    def __init__(self, address: Address, log: EventLog):
        self._address = address
        self._log = log
        self._numbers = itertools.count(1)
        self._opening = curio.Lock()
        self._link: MessageLink | None = None
        self._running: curio.Task | None = None
        self._mailboxes: dict[int, curio.Queue] = {}
        self._paused_until_s = 0.0
        self._unanswered = 0

    @property
    def is_paused(self) -> bool:
        """Whether the scheduler didn't answer lately."""
        return now_s() < self._paused_until_s

    async def ask(
        self, call: RoutedCall, reader_id: str
    ) -> tuple[Answer, RemoteTicket] | None:
        """Return the scheduler's answer; None where none comes in time."""
        link = await self._open()
        if link is None:
            return None
        number = next(self._numbers)
        mailbox = self._mailboxes[number] = curio.Queue()
        answer = None
        try:
            await link.send(PlaceQuestion(number, call, reader_id))
            answer = await self._wait(mailbox, call)
        finally:
            self._mailboxes.pop(number, None)
            if answer is None:
                await link.send(WithdrawnNotice(number))
        if answer is None:
            await self._note_unanswered()
            return None
        self._unanswered = 0
        return answer, RemoteTicket(link, number)

    async def _wait(self, mailbox: curio.Queue, call: RoutedCall) -> Answer | None:
        """Wait a short time for an answer, or long once the call is in the queue."""
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                answer = await mailbox.get()
            if isinstance(answer, WaitingNotice):
                async with curio.timeout_after(max(0.001, call.remaining_s())):
                    while isinstance(answer, WaitingNotice):
                        answer = await mailbox.get()
        except curio.TaskTimeout:
            return None
        return answer

    async def _open(self) -> MessageLink | None:
        async with self._opening:
            if self._link is None and not self.is_paused:
                await self._connect()
            return self._link

    async def _connect(self) -> None:
        try:
            link = await MessageLink.connect(self._address, CONNECT_TIMEOUT_S)
        except OSError as exc:
            self._pause(UNREACHED_PAUSE_S, str(exc))
            return
        self._link = link
        self._running = await curio.spawn(self._run, link, daemon=True)

    async def _run(self, link: MessageLink) -> None:
        try:
            await link.run(self._deliver)
        except (OSError, WisteriaError) as exc:
            await self._lost(link, str(exc))
        finally:
            await link.close()

    async def _deliver(self, message: Message) -> None:
        mailbox = self._mailboxes.get(getattr(message, "number", 0))
        if mailbox is not None:
            await mailbox.put(message)

    async def _lost(self, link: MessageLink, error: str) -> None:
        """Take in that a connection broke; questions on it get no answer."""
        if self._link is not link:
            return
        self._link = None
        self._log.write(Event.SCHEDULER_LOST, address=str(self._address), error=error)
        await self._answer_nobody()

    async def _answer_nobody(self) -> None:
        for mailbox in self._mailboxes.values():
            await mailbox.put(None)

    async def _note_unanswered(self) -> None:
        """Ask elsewhere for a while; a connection that stays silent is closed."""
        self._unanswered += 1
        self._pause(UNANSWERED_PAUSE_S, "no answer in time")
        if self._unanswered >= UNANSWERED_MAX:
            await self.close()

    def _pause(self, pause_s: float, error: str) -> None:
        if not self.is_paused:
            self._log.write(
                Event.SCHEDULER_SILENT, address=str(self._address), error=error
            )
        self._paused_until_s = now_s() + pause_s

    async def close(self) -> None:
        """Close the connection, if there is one."""
        self._link = None
        self._unanswered = 0
        running, self._running = self._running, None
        if running is not None:
            await running.cancel()
        await self._answer_nobody()


class FleetPlacer:
    """Places calls through the entry that schedules their service.

    ``shared`` places for all entries where this entry is the scheduler, ``fallback``
    for this entry alone where no scheduler answers. ``address_of`` returns the peer
    address of an entry.
    """

    def __init__(
        self,
        own_id: str,
        choice: SchedulerChoice,
        registry: UpstreamRegistry,
        shared: Scheduler,
        fallback: Scheduler,
        address_of: Callable[[str], Address],
        log: EventLog,
    ):
        self._own_id = own_id
        self._choice = choice
        self._registry = registry
        self._shared = shared
        self._fallback = fallback
        self._address_of = address_of
        self._log = log
        self._links: dict[str, SchedulerLink] = {}
        self.answered_at_s = float("-inf")

    async def place(self, call: RoutedCall) -> Placement:
        """Return where a call goes now; raises RequestError, AttemptFailed."""
        scheduler = self._fallback
        for name in self._choice.of(call.service)[:ASKED_MAX]:
            if name == self._own_id:
                scheduler = self._shared
                break
            answered = await self._ask(name, call, "")
            if answered is not None:
                self._count(call)
                return await self._placement(call, *answered)
        if scheduler is self._shared:
            self._count(call)
        return Placement(await scheduler.place(call), NoTicket())

    def _count(self, call: RoutedCall) -> None:
        """Count a call that is placed elsewhere as a request of this entry too."""
        if call.placements == 0:
            self._fallback.retries.note_request(call.service)

    async def place_run(self, call: RoutedCall, reader: Upstream) -> RunPlacement:
        """Return where a prompt runs that ``reader`` has read; raises AttemptFailed."""
        for name in self._choice.of(call.service)[:ASKED_MAX]:
            if name == self._own_id:
                break
            answered = await self._ask(name, call, reader.upstream_id)
            if answered is not None:
                placement = await self._placement(call, *answered)
                return RunPlacement(placement.plan.decode, placement.ticket)
        return RunPlacement(self._fallback.place_run(call, reader), NoTicket())

    async def _ask(
        self, name: str, call: RoutedCall, reader_id: str
    ) -> tuple[Answer, RemoteTicket] | None:
        link = self._links.get(name)
        if link is None:
            link = SchedulerLink(self._address_of(name), self._log)
            self._links[name] = link
        if link.is_paused:
            return None
        answered = await link.ask(call, reader_id)
        if answered is not None:
            self.answered_at_s = now_s()
        return answered

    async def _placement(
        self, call: RoutedCall, answer: Answer, ticket: RemoteTicket
    ) -> Placement:
        if isinstance(answer, RefusedAnswer):
            if answer.error is None:
                raise AttemptFailed.nothing_sent(answer.detail)
            answer.error.ran = call.ran
            raise answer.error
        call.favoured = answer.favoured
        call.repeats_left = answer.repeats_left
        self._shared.parts.knowledge.take_rate(call.service, answer.rate)
        plan = StagePlan(
            self._choice_from(answer.reading), self._choice_from(answer.running)
        )
        wanted = plan.prefill if answer.reading is not None else plan.decode
        if wanted is None:
            chosen = answer.reading or answer.running
            call.tried.add(chosen.upstream_id)
            await ticket.ended(AttemptOutcome(LEFT, 0.0))
            raise AttemptFailed.nothing_sent("the upstream isn't usable here")
        return Placement(plan, ticket)

    def _choice_from(self, placed: PlacedChoice | None) -> Choice | None:
        """Return a choice among the upstreams that this entry may use."""
        if placed is None:
            return None
        upstream = self._registry.usable_one(placed.upstream_id)
        loads = self._shared.parts.knowledge.loads
        if upstream is None or loads.must_wait(placed.upstream_id):
            return None
        candidate = Candidate(
            upstream,
            placed.requests,
            placed.prompt_tokens,
            placed.pace,
            holding=Holding(placed.holding),
        )
        source = self._registry.get(placed.fetch_from_id)
        return Choice(candidate, placed.cost_s, source, placed.tokens)

    async def close(self) -> None:
        """Close the connections to schedulers."""
        for link in self._links.values():
            await link.close()
