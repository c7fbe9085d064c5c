"""Fault-injecting TCP proxy.

Bytes are forwarded between each client and the target. ``POST /control`` on the control
address sets a fault with ``mode``:

- ``pass``: no fault; bytes held back so far are delivered.
- ``hold``: bytes in both directions are held back and connections stay open.
- ``hold_up`` / ``hold_down``: the same, only towards / from the target.
- ``hold_open``: connections that are open now are held back; new ones are forwarded.
- ``reset``: open connections are closed; new ones are closed immediately.

``delay_s`` delays every block of bytes in both directions.
"""

import json
from dataclasses import dataclass

import curio
from curio import socket

from ..event_log import EventLog
from ..http_server import HttpServerConnection
from ..sockets import listen_on, serve_clients
from ..wire import Address, HttpRequest
from .server import respond_json, serve_http

BLOCK_BYTES = 64 * 1024
POLL_S = 0.005


@dataclass
class ProxyFaults:
    """Active faults."""

    mode: str = "pass"
    delay_s: float = 0.0
    held_until_connection: int = 0

    def holds_back(self, direction: str, connection: int) -> bool:
        """Whether bytes in a direction (``up`` or ``down``) are held back."""
        if self.mode == "hold_open":
            return connection <= self.held_until_connection
        return self.mode in ("hold", f"hold_{direction}")


class FaultProxy:
    """TCP proxy in front of one target."""

    def __init__(self, target: Address):
        self._target = target
        self._faults = ProxyFaults()
        self._connections = 0

    async def handle_control(
        self, conn: HttpServerConnection, req: HttpRequest
    ) -> bool:
        """Handle ``POST /control``, which sets faults."""
        for name, value in json.loads(req.body or b"{}").items():
            setattr(self._faults, name, value)
        self._faults.held_until_connection = self._connections
        return await respond_json(conn, 200, vars(self._faults))

    async def handle_client(self, client) -> None:
        """Forward bytes between one client and the target until either side closes."""
        self._connections += 1
        connection = self._connections
        target = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with target:
            try:
                await target.connect((self._target.host, self._target.port))
            except OSError:
                return
            for sock in (client, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._forward, client, target, "up", connection)
                await group.spawn(self._forward, target, client, "down", connection)
                await group.spawn(self._wait_for_reset)

    async def _forward(
        self, source, destination, direction: str, connection: int
    ) -> None:
        try:
            while data := await source.recv(BLOCK_BYTES):
                if self._faults.delay_s:
                    await curio.sleep(self._faults.delay_s)
                while self._faults.holds_back(direction, connection):
                    await curio.sleep(POLL_S)
                await destination.sendall(data)
        except OSError:
            return

    async def _wait_for_reset(self) -> None:
        while self._faults.mode != "reset":
            await curio.sleep(POLL_S)


async def run_proxy(host: str, port: int, target: Address, announce) -> None:
    """Serve the proxy and its control API until cancelled.

    ``announce`` gets both addresses as text, the proxy's first.
    """
    proxy = FaultProxy(target)
    sock = listen_on("--port", Address(host, port))

    def announce_both(control: Address) -> None:
        announce(f"{Address(*sock.getsockname())} {control}")

    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(serve_clients, sock, proxy.handle_client, EventLog("proxy"))
        await group.spawn(serve_http, host, 0, proxy.handle_control, announce_both)
