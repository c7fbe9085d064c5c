"""One request to an upstream and its answer, over a pooled connection."""

import contextlib
from typing import Self

import curio

from ..connection.upstream_connector import UpstreamConnector
from ..connection.upstream_pool import UpstreamPool
from ..errors import ConnectionClosed, WireError
from ..http_client import BODY_MAX_BYTES, HttpClientConnection
from ..process.upstreams import Upstream
from .attempt_failures import AttemptFailed, FailureReason
from .routed_call import RoutedCall
from .upstream_protocol import OutgoingRequest, UpstreamHead, UpstreamProtocol

CONNECT_TIMEOUT_S = 0.3
FOREIGN_ANSWERS_MAX = 2
# Limits for answers that are discarded, and for answers to the entry's own requests.
FOREIGN_ANSWER_MAX_BYTES = 1024 * 1024
CONTROL_ANSWER_MAX_BYTES = 64 * 1024


class Exchange:
    """Async context manager of one exchange.

    The connection returns to the pool only after a complete answer.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        protocol: UpstreamProtocol,
        call: RoutedCall,
        upstream: Upstream,
    ):
        self._pool = pool
        self._protocol = protocol
        self._call = call
        self.upstream = upstream
        self._conn: HttpClientConnection | None = None
        self._paths = pool.connector.paths
        self._complete = False
        self._keep_alive_s: float | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info) -> None:
        if self._conn is None:
            return
        if self._complete:
            await self._pool.release(self._conn, self._keep_alive_s)
        else:
            await self._conn.close()

    async def send(self, req: OutgoingRequest, timeout_s: float) -> UpstreamHead:
        """Send the request and return the head of its answer; raises AttemptFailed.

        The attempt fails if no head is received within ``timeout_s``.
        """
        await self._connect()
        try:
            async with curio.timeout_after(timeout_s):
                return await self._send(req)
        except curio.TaskTimeout as exc:
            raise AttemptFailed(
                FailureReason.SILENT, f"no answer after {timeout_s:.3f} s"
            ) from exc

    async def _connect(self) -> None:
        try:
            self._conn = await self._pool.acquire(
                self.upstream.address,
                fresh=False,
                timeout_s=CONNECT_TIMEOUT_S,
                request_id=self._call.call_id,
            )
        except OSError as exc:
            raise AttemptFailed(FailureReason.NOT_CONNECTED, str(exc)) from exc

    async def _send(self, req: OutgoingRequest) -> UpstreamHead:
        self._conn.request_ids.append(self._call.call_id)
        with self._paths.waiting_unless(self._conn.is_relayed):
            # The upstream may have answered before it read a long body.
            with contextlib.suppress(OSError):
                await self._conn.send_request(
                    req.method, req.target, req.headers, req.body
                )
            return await self._read_head(req)

    def _record_answer(self) -> None:
        if not self._conn.is_relayed:
            self._paths.record_answer(self.upstream.address)

    async def _read_head(self, req: OutgoingRequest) -> UpstreamHead:
        for _ in range(FOREIGN_ANSWERS_MAX):
            try:
                raw = await self._conn.read_head()
                self._record_answer()
                head = self._protocol.read_head(self._call, raw)
                self._check_refusal_is_own(head)
                if not head.foreign:
                    self._keep_alive_s = head.keep_alive_s
                    return head
                await self._conn.skip_body(FOREIGN_ANSWER_MAX_BYTES)
            except (WireError, OSError) as exc:
                raise _to_attempt_failure(exc) from exc
            self._conn.skip_foreign_response(req.method)
        raise AttemptFailed(
            FailureReason.FOREIGN_ANSWER, "the answer belongs to another request"
        )

    def _check_refusal_is_own(self, head: UpstreamHead) -> None:
        """Raise AttemptFailed for a refusal that may be that of an earlier request."""
        if head.not_run and not head.is_identified and self._conn.is_reused:
            raise AttemptFailed(
                FailureReason.FOREIGN_ANSWER, "a refusal names no request"
            )

    async def read_block(self) -> bytes | None:
        """Return the next received block of the body; None at its end."""
        try:
            block = await self._conn.read_block()
        except (WireError, OSError) as exc:
            raise _to_attempt_failure(exc) from exc
        self._record_answer()
        if block is None:
            self._complete = True
        return block

    async def hold(self, size: int) -> None:
        """Account for bytes of the body that are kept; raises AttemptFailed."""
        try:
            await self._conn.hold(size)
        except WireError as exc:
            raise _to_attempt_failure(exc) from exc

    async def read_body(self, max_bytes: int = BODY_MAX_BYTES) -> bytes:
        """Return the rest of the body.

        Raises AttemptFailed if it is truncated or longer than ``max_bytes``.
        """
        try:
            body = await self._conn.read_body(max_bytes)
        except (WireError, OSError) as exc:
            raise _to_attempt_failure(exc) from exc
        self._complete = True
        return body


async def is_down(
    upstream: Upstream, connector: UpstreamConnector | None = None
) -> bool:
    """Whether an upstream whose connection failed no longer accepts connections."""
    return await (connector or UpstreamConnector()).is_down(upstream.address)


def _to_attempt_failure(exc: Exception) -> AttemptFailed:
    if isinstance(exc, ConnectionClosed | OSError):
        return AttemptFailed(FailureReason.CLOSED, str(exc))
    return AttemptFailed(FailureReason.MALFORMED, str(exc))
