"""Calls of duties to the cloud's address, each over a new connection."""

from typing import Any

import curio
from curio import socket

from ..errors import LeaseLost, WireError
from ..event_log import EventLog
from ..events import Event
from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..process.duty import Duty
from ..process.duty_messages import DutyProtocol, DutyResult
from ..process.duty_settings import AUTOSCALE_DUTY, DutySettings
from ..process.store import Put
from ..sockets import RESET_ON_CLOSE
from ..wire import Address, OutgoingRequest

__all__ = ["DutyClient", "DutyResult"]

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.5
# The kernel gives up on data that isn't acknowledged, also while the process is paused.
UNACKNOWLEDGED_MAX_MS = 1000


class DutyClient:
    """Sends the calls of this entry's duties, at most ``calls_per_s`` a second."""

    def __init__(
        self,
        address: Address,
        calls_per_s: float,
        require_fence: bool,
        protocol: DutyProtocol,
        log: EventLog,
    ):
        self._address = address
        self._interval_s = 1.0 / calls_per_s
        self._require_fence = require_fence
        self._protocol = protocol
        self._log = log
        self._next_call_at_s = float("-inf")

    @classmethod
    def from_config(
        cls, cfg: DutySettings, protocol: DutyProtocol, log: EventLog
    ) -> "DutyClient":
        """Return a client for the address of the settings."""
        address = cfg.address.address()
        return cls(address, cfg.calls_per_s, cfg.require_fence, protocol, log)

    async def call(
        self,
        duty: Duty,
        req: OutgoingRequest,
        note: Any = None,
        note_if_accepted: Any = None,
        puts: tuple[Put, ...] = (),
    ) -> DutyResult:
        """Send one call and return its outcome.

        ``note`` and ``puts`` are recorded in the store before it is sent, and
        ``note_if_accepted`` after it was accepted. Raises
        LeaseLost or a PlatformError if nothing was sent.
        """
        async with duty.call_lock:
            await self._wait_for_turn()
            token = self._protocol.token(req)
            note = duty.note if note is None else note
            former_unsettled_until_s = duty.times.unsettled_until_s
            await duty.begin_call(token, note, puts)
            result = DutyResult.UNKNOWN
            try:
                result = await self._exchange(duty, token, req)
            except LeaseLost:
                await duty.end_call(former_unsettled_until_s, note)
                raise
            if result is DutyResult.ACCEPTED and note_if_accepted is not None:
                note = note_if_accepted
            if result is not DutyResult.UNKNOWN:
                await duty.end_call(former_unsettled_until_s, note)
            if result is DutyResult.FENCED:
                result = await self._resolve_refusal(duty, token)
        self._log.write(
            Event.DUTY_CALL_ENDED,
            duty=duty.name,
            subject=duty.subject,
            token=token,
            result=result.value,
        )
        return result

    async def _wait_for_turn(self) -> None:
        wait_s = self._next_call_at_s - now_s()
        if wait_s > 0:
            await curio.sleep(wait_s)
        self._next_call_at_s = now_s() + self._interval_s

    async def _resolve_refusal(self, duty: Duty, token: int) -> DutyResult:
        """Return what a refusal means, and replace a token that may be outdated.

        409 to a scaling order may also mean that no servers are available.
        """
        is_scaling = duty.name == AUTOSCALE_DUTY
        if self._require_fence or not is_scaling:
            await duty.replace_token(token)
        return DutyResult.UNAVAILABLE if is_scaling else DutyResult.FENCED

    async def _exchange(
        self, duty: Duty, token: int, req: OutgoingRequest
    ) -> DutyResult:
        """Send a request and return its outcome; raises LeaseLost if nothing is sent.

        The connection is reset when it is closed, so that data still in the kernel
        isn't delivered later.
        """
        try:
            conn = await HttpClientConnection.connect(self._address, CONNECT_TIMEOUT_S)
        except OSError:
            return DutyResult.UNAVAILABLE
        async with conn:
            _discard_undelivered(conn.sock)
            duty.require_token(token)
            duty.times.record_sent()
            try:
                async with curio.timeout_after(ANSWER_TIMEOUT_S):
                    return await self._read_answer(conn, req)
            except (OSError, WireError, curio.TaskTimeout):
                return DutyResult.UNKNOWN

    async def _read_answer(
        self, conn: HttpClientConnection, req: OutgoingRequest
    ) -> DutyResult:
        await conn.send_request(req.method, req.target, req.headers, req.body)
        return self._protocol.read_result(await conn.read_head())


def _discard_undelivered(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)
