"""Server for other entries on the peer port: placement, copies of rows, usage."""

from collections.abc import Callable
from functools import singledispatchmethod

import curio

from ..errors import FrameError, RequestError, WisteriaError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.manifest_copy import ManifestCopySource
from ..process.usage_counts import UsageUpdate
from ..request.attempt_failures import AttemptFailed
from ..request.attempt_outcome import ANSWERED, AttemptOutcome, AttemptStage
from ..request.candidate import Choice
from ..request.estimate_updater import EstimateUpdater
from ..request.routed_call import RoutedCall
from ..request.scheduler import Scheduler
from ..request.shared_prefill import OnWait
from ..request.stage_plan import StagePlan
from ..sockets import listen_on, serve_clients
from ..wire import Address
from .message_link import MessageLink
from .placed_attempt import PlacedAttempt
from .relay_server import RelayServer
from .scheduling_messages import (
    CopyAnswer,
    CopyQuery,
    Message,
    OutcomeReport,
    PlacedAnswer,
    PlacedChoice,
    PlaceQuery,
    RefusedAnswer,
    UsageAnswer,
    WaitingNotice,
    WithdrawnNotice,
)

SWEEP_EVERY_S = 0.5

# Applies the counts of another entry and returns the holder of the usage duty.
UsageHandler = Callable[[UsageUpdate], str]


class SchedulingServer:
    """Accepts connections of other entries and serves each in its own task."""

    def __init__(
        self,
        address: Address,
        scheduler: Scheduler,
        estimate_updater: EstimateUpdater,
        copy_source: ManifestCopySource,
        log: EventLog,
        relay: RelayServer | None = None,
        on_usage: UsageHandler | None = None,
    ):
        self._relay = relay
        self._on_usage = on_usage
        self._address = address
        self._scheduler = scheduler
        self._estimate_updater = estimate_updater
        self._copy_source = copy_source
        self._log = log

    async def run(self) -> None:
        """Serve forever."""
        sock = listen_on("peer_port", self._address)
        await serve_clients(sock, self._serve, self._log)

    async def _serve(self, client) -> None:
        peer = str(Address(*client.getpeername()))
        try:
            received = b""
            if self._relay is not None:
                received = await self._relay.serve_if_asked(client)
            if received is not None:
                await self._run_session(MessageLink(client, received))
        except FrameError as exc:
            self._log.write(Event.PEER_FRAME_REFUSED, address=peer, error=str(exc))
        except (OSError, WisteriaError):
            return

    async def _run_session(self, link: MessageLink) -> None:
        session = SchedulingSession(
            link,
            self._scheduler,
            self._estimate_updater,
            self._copy_source,
            self._on_usage,
        )
        await session.run()


class SchedulingSession:
    """Pending queries and in-flight attempts of one connected entry."""

    def __init__(
        self,
        link: MessageLink,
        scheduler: Scheduler,
        estimate_updater: EstimateUpdater,
        copy_source: ManifestCopySource,
        on_usage: UsageHandler | None = None,
    ):
        self._link = link
        self._on_usage = on_usage
        self._scheduler = scheduler
        self._estimate_updater = estimate_updater
        self._copy_source = copy_source
        self._place_tasks: dict[int, curio.Task | None] = {}
        self._attempts: dict[int, PlacedAttempt] = {}

    async def run(self) -> None:
        """Answer queries until the connection ends.

        Raises FrameError, ConnectionClosed or OSError.
        """
        try:
            await self._link.run(self._handle, self._end_overdue_attempts)
        finally:
            # A cancelled task removes itself from the dict, hence the copy.
            for task in tuple(filter(None, self._place_tasks.values())):
                await task.cancel()
            for attempt in self._attempts.values():
                attempt.end()

    @singledispatchmethod
    async def _handle(self, message: Message) -> None:
        raise FrameError(f"{type(message).__name__} is no question")

    @_handle.register
    async def _(self, message: PlaceQuery) -> None:
        self._place_tasks[message.number] = None
        task = await curio.spawn(self._place, message, daemon=True)
        if message.number in self._place_tasks:
            self._place_tasks[message.number] = task

    @_handle.register
    async def _(self, message: OutcomeReport) -> None:
        attempt = self._attempts.get(message.number)
        if attempt is None:
            return
        self._estimate_updater.observe_signals(
            attempt.choice.candidate.upstream.upstream_id,
            message.outcome.signals,
            attempt.placed_at_s,
        )
        if message.is_final:
            del self._attempts[message.number]
            self._end(attempt, message.outcome)

    @_handle.register
    async def _(self, message: WithdrawnNotice) -> None:
        task = self._place_tasks.pop(message.number, None)
        if task is not None:
            await task.cancel()
        attempt = self._attempts.pop(message.number, None)
        if attempt is not None:
            attempt.end()
            if attempt.prefills_here:
                self._scheduler.parts.stream_software.withdraw(attempt.call)

    @_handle.register
    async def _(self, _message: CopyQuery) -> None:
        await self._link.send(CopyAnswer(self._copy_source.make_copy()))

    @_handle.register
    async def _(self, message: UsageUpdate) -> None:
        if self._on_usage is not None:
            await self._link.send(UsageAnswer(self._on_usage(message)))

    async def _place(self, query: PlaceQuery) -> None:
        """Answer a query, unless it was withdrawn before this task started.

        Under overload, queries arrive faster than they are answered, and entries
        withdraw them after 0.1 s. Working on withdrawn queries would make the next
        answers overdue as well.
        """
        if query.number not in self._place_tasks:
            return
        try:
            answer = await self._answer(query)
        except RequestError as exc:
            answer = RefusedAnswer(query.number, exc.detail, exc)
            self._observe_prompt_size(query.call, answered=False)
        except AttemptFailed as exc:
            answer = RefusedAnswer(query.number, exc.detail)
        finally:
            self._place_tasks.pop(query.number, None)
        await self._link.send(answer)

    async def _answer(self, query: PlaceQuery) -> PlacedAnswer:
        """Return the placement of a call; raises RequestError or AttemptFailed."""
        if query.prefill_engine_id:
            return self._placed_answer(query, None, await self._place_decode(query))
        plan = await self._place_call(query)
        return self._placed_answer(query, plan.prefill, plan.decode)

    async def _place_decode(self, query: PlaceQuery) -> Choice:
        registry = self._scheduler.parts.estimates.registry
        prefill_engine = registry.get(query.prefill_engine_id)
        if prefill_engine is None:
            raise AttemptFailed.nothing_sent("the reader of the prompt is gone")
        choice = await self._scheduler.place_decode(
            query.call, prefill_engine, self._notice_sender(query)
        )
        self._start_attempt(query, choice, AttemptStage.RUN, prefills_here=False)
        return choice

    async def _place_call(self, query: PlaceQuery) -> StagePlan:
        plan = await self._scheduler.place(query.call, self._notice_sender(query))
        if plan.prefill is not None:
            self._start_attempt(query, plan.prefill, AttemptStage.PREFILL)
        else:
            self._start_attempt(query, plan.decode, AttemptStage.RUN)
        return plan

    def _notice_sender(self, query: PlaceQuery) -> OnWait:
        async def tell_of_wait() -> None:
            await self._link.send(WaitingNotice(query.number))

        return tell_of_wait

    def _placed_answer(
        self, query: PlaceQuery, prefill: Choice | None, decode: Choice | None
    ) -> PlacedAnswer:
        call = query.call
        return PlacedAnswer(
            query.number,
            prefill and PlacedChoice.from_choice(prefill),
            decode and PlacedChoice.from_choice(decode),
            call.prioritized,
            call.retries_left,
            self._scheduler.parts.estimates.prefill_rate(call.service),
        )

    def _start_attempt(
        self,
        query: PlaceQuery,
        choice: Choice,
        stage: AttemptStage,
        prefills_here: bool = True,
    ) -> None:
        """Count the placed attempt as in flight from now on."""
        attempt = PlacedAttempt(query.call, choice, stage, prefills_here)
        attempt.begin(self._scheduler, self._estimate_updater)
        self._attempts[query.number] = attempt

    def _end(self, attempt: PlacedAttempt, outcome: AttemptOutcome) -> None:
        attempt.end()
        self._estimate_updater.observe_report_delay(
            attempt.call, now_s() - attempt.placed_at_s, outcome
        )
        self._estimate_updater.observe_outcome(
            attempt.call, attempt.choice, attempt.stage, outcome, attempt.prefills_here
        )
        if attempt.stage is AttemptStage.RUN:
            self._observe_prompt_size(attempt.call, outcome.first_event_s is not None)
        if attempt.stage is AttemptStage.RUN or outcome.cause != ANSWERED:
            stream_software = self._scheduler.parts.stream_software
            stream_software.observe_outcome(attempt.call, outcome)

    def _observe_prompt_size(self, call: RoutedCall, answered: bool) -> None:
        if call.prompt is not None:
            sizes = self._scheduler.parts.fairness
            sizes.observe(call.route.name, call.prompt.own_tokens, answered)

    async def _end_overdue_attempts(self) -> None:
        """End attempts whose outcome is overdue."""
        while True:
            await curio.sleep(SWEEP_EVERY_S)
            for number, attempt in list(self._attempts.items()):
                if attempt.is_overdue:
                    del self._attempts[number]
                    attempt.end()
