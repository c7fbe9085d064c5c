"""HTTP server for information about the entry itself, such as its status."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import ANSWERS, RequestError
from ..event_log import EventLog
from ..http_server import HttpServerConnection
from ..process.settings_models import LimitSettings
from ..sockets import listen_on, serve_clients
from ..wire import Address, Headers, HttpRequest
from .connection_limit import ConnectionLimit, bounded_socket

IDLE_TIMEOUT_S = 30.0
HEAD_MAX_BYTES = 16 * 1024
BODY_MAX_BYTES = 16 * 1024


@dataclass(frozen=True)
class InfoAnswer:
    """Complete answer to a request."""

    status: int
    body: bytes = b""
    headers: Headers = field(default_factory=list)


class InfoServer:
    """Serves the results of ``answer`` on an address.

    ``setting`` is the name of the setting that has the address, for error messages.
    """

    def __init__(
        self,
        setting: str,
        address: Address,
        answer: Callable[[HttpRequest], InfoAnswer],
        log: EventLog,
        limit: ConnectionLimit,
        limits: LimitSettings,
    ):
        self._setting = setting
        self._address = address
        self._answer = answer
        self._log = log
        self._limit = limit
        self._limits = limits

    async def run(self) -> None:
        """Serve requests forever."""
        sock = listen_on(self._setting, self._address)
        await serve_clients(sock, self._serve, self._log, self._limit)

    async def _serve(self, client) -> None:
        with (
            contextlib.suppress(OSError),
            HttpServerConnection(
                bounded_socket(client, self._limits, self._limit.report),
                HEAD_MAX_BYTES,
                BODY_MAX_BYTES,
            ) as conn,
        ):
            while await self._serve_one(conn):
                pass

    async def _serve_one(self, conn: HttpServerConnection) -> bool:
        try:
            req = await conn.read_head(IDLE_TIMEOUT_S)
            if req is None:
                return False
            req.body = await conn.read_body()
        except RequestError as exc:
            await conn.send_response(ANSWERS[exc.kind].status, [])
            return False
        answer = self._answer(req)
        await conn.send_response(answer.status, answer.headers, answer.body)
        return conn.start_next_cycle()
