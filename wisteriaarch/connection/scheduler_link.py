"""Connection to the entry that schedules a service's calls."""

import itertools
from dataclasses import dataclass

import curio

from ..errors import WisteriaError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.upstream_signals import UpstreamSignals
from ..request.attempt_outcome import ABANDONED, AttemptOutcome
from ..request.routed_call import RoutedCall
from ..wire import Address
from .message_link import MessageLink
from .scheduling_messages import (
    Message,
    OutcomeReport,
    PlacedAnswer,
    PlaceQuery,
    RefusedAnswer,
    WaitingNotice,
    WithdrawnNotice,
)

ANSWER_TIMEOUT_S = 0.1
CONNECT_TIMEOUT_S = 0.06
# Time without further queries after a missing answer and after a failed connect.
UNANSWERED_BACKOFF_S = 0.25
CONNECT_BACKOFF_S = 1.0
# The connection is closed after this number of consecutive unanswered queries.
UNANSWERED_MAX = 3

Answer = PlacedAnswer | RefusedAnswer


@dataclass(frozen=True)
class RemoteTicket:
    """Reports on an attempt to the scheduler that placed it."""

    link: MessageLink
    number: int

    async def observe_signals(self, signals: UpstreamSignals) -> None:
        """Report what the upstream's answer says of it, before the attempt ends."""
        interim = AttemptOutcome(ABANDONED, 0.0, signals=signals)
        await self.link.send(OutcomeReport(self.number, interim, is_final=False))

    async def observe_outcome(self, outcome: AttemptOutcome) -> None:
        """Report the outcome.

        If the connection breaks before that, the scheduler ends the attempt itself.
        """
        await self.link.send(OutcomeReport(self.number, outcome))


class SchedulerLink:
    """Connection to one scheduler, opened on demand."""

    def __init__(self, address: Address, log: EventLog):
        self._address = address
        self._log = log
        self._numbers = itertools.count(1)
        self._connect_lock = curio.Lock()
        self._link: MessageLink | None = None
        self._run_task: curio.Task | None = None
        self._mailboxes: dict[int, curio.Queue] = {}
        self._backoff_until_s = 0.0
        self._unanswered = 0

    @property
    def is_in_backoff(self) -> bool:
        """Whether queries are suspended after a missing answer or failed connect."""
        return now_s() < self._backoff_until_s

    async def query(
        self, call: RoutedCall, prefill_engine_id: str
    ) -> tuple[Answer, RemoteTicket] | None:
        """Return the scheduler's answer; None if it doesn't answer within the timeout.

        ``prefill_engine_id`` is the engine that has prefilled the prompt, if any.
        """
        link = await self._open()
        if link is None:
            return None
        number = next(self._numbers)
        mailbox = self._mailboxes[number] = curio.Queue()
        answer = None
        try:
            await link.send(PlaceQuery(number, call, prefill_engine_id))
            answer = await self._wait_for_answer(mailbox, call)
        finally:
            self._mailboxes.pop(number, None)
            if answer is None:
                await link.send(WithdrawnNotice(number))
        if answer is None:
            call.may_be_placed = True
            await self._record_unanswered()
            return None
        self._unanswered = 0
        return answer, RemoteTicket(link, number)

    async def _wait_for_answer(
        self, mailbox: curio.Queue, call: RoutedCall
    ) -> Answer | None:
        """Wait ANSWER_TIMEOUT_S, or until the deadline of a call that is queued."""
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
        async with self._connect_lock:
            if self._link is None and not self.is_in_backoff:
                await self._connect()
            return self._link

    async def _connect(self) -> None:
        try:
            link = await MessageLink.connect(self._address, CONNECT_TIMEOUT_S)
        except OSError as exc:
            self._back_off(CONNECT_BACKOFF_S, str(exc))
            return
        self._link = link
        self._run_task = await curio.spawn(self._run, link, daemon=True)

    async def _run(self, link: MessageLink) -> None:
        try:
            await link.run(self._deliver)
        except (OSError, WisteriaError) as exc:
            await self._handle_loss(link, str(exc))
        finally:
            await link.close()

    async def _deliver(self, message: Message) -> None:
        mailbox = self._mailboxes.get(getattr(message, "number", 0))
        if mailbox is not None:
            await mailbox.put(message)

    async def _handle_loss(self, link: MessageLink, error: str) -> None:
        """Handle a broken connection; pending queries end without an answer."""
        if self._link is not link:
            return
        self._link = None
        self._log.write(
            Event.SCHEDULER_DISCONNECTED, address=str(self._address), error=error
        )
        await self._end_pending_queries()

    async def _end_pending_queries(self) -> None:
        for mailbox in self._mailboxes.values():
            await mailbox.put(None)

    async def _record_unanswered(self) -> None:
        """Suspend queries for a time; close a connection that is unresponsive."""
        self._unanswered += 1
        self._back_off(UNANSWERED_BACKOFF_S, "no answer in time")
        if self._unanswered >= UNANSWERED_MAX:
            await self.close()

    def _back_off(self, backoff_s: float, error: str) -> None:
        if not self.is_in_backoff:
            self._log.write(
                Event.SCHEDULER_UNRESPONSIVE, address=str(self._address), error=error
            )
        self._backoff_until_s = now_s() + backoff_s

    async def close(self) -> None:
        """Close the connection, if there is one."""
        self._link = None
        self._unanswered = 0
        run_task, self._run_task = self._run_task, None
        if run_task is not None:
            await run_task.cancel()
        await self._end_pending_queries()
