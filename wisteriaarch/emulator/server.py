"""Small HTTP server shared by the emulators."""

import contextlib
import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from curio import socket

from ..client_socket import ClientSocket
from ..errors import WisteriaError
from ..event_log import EventLog
from ..http_server import HttpServerConnection
from ..sockets import listen_on, serve_clients
from ..wire import Address, HttpRequest

IDLE_TIMEOUT_S = 600.0

Handler = Callable[[HttpServerConnection, HttpRequest], Awaitable[bool]]


async def serve_http(
    host: str,
    port: int,
    handler: Handler,
    announce: Callable[[Address], None],
    *,
    read_body: bool = True,
) -> None:
    """Serve ``handler`` until cancelled; if it returns False, the connection closes."""
    sock = listen_on("--port", Address(host, port))
    announce(Address(*sock.getsockname()))

    async def serve_connection(client) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with (
            contextlib.suppress(OSError, WisteriaError),
            HttpServerConnection(ClientSocket(client)) as conn,
        ):
            await _serve_requests(conn, handler, read_body)

    await serve_clients(sock, serve_connection, EventLog("emulator"))


async def _serve_requests(conn, handler: Handler, read_body: bool) -> None:
    while True:
        req = await conn.read_head(IDLE_TIMEOUT_S)
        if req is None:
            return
        if read_body:
            req.body = await conn.read_body()
        if not await handler(conn, req) or not conn.start_next_cycle():
            return


async def respond_json(
    conn: HttpServerConnection,
    status: int,
    content: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> bool:
    """Send a JSON answer; returns True, which keeps the connection open."""
    body = json.dumps(content).encode()
    all_headers = [("Content-Type", "application/json"), *headers]
    await conn.send_response(status, all_headers, body)
    return True
