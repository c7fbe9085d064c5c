"""Connects other entries to upstreams that they can't reach themselves."""

from typing import Any

import curio

from ..errors import ConnectionClosed, FrameError
from ..event_log import EventLog
from ..events import Event
from ..sockets import open_socket
from .frames import FrameReader, encode_frame
from .relay_codec import (
    RELAY_MARK,
    RelayAnswer,
    RelayOutcome,
    decode_query,
    encode_answer,
)
from .upstream_connector import UpstreamConnector

FIRST_BYTE_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 1.0
UPSTREAM_TIMEOUT_S = 0.3
RELAYED_MAX = 1000
BLOCK_BYTES = 64 * 1024


class RelayServer:
    """Serves the connections of other entries that begin with ``RELAY_MARK``."""

    def __init__(self, connector: UpstreamConnector, log: EventLog):
        self._connector = connector
        self._log = log
        self._relayed = 0

    async def serve_if_asked(self, client: Any) -> bytes | None:
        """Serve a connection if it is to be relayed.

        Returns its first bytes if it isn't, and None after it was relayed. Raises
        OSError, ConnectionClosed or FrameError.
        """
        try:
            async with curio.timeout_after(FIRST_BYTE_TIMEOUT_S):
                first = await client.recv(1)
        except curio.TaskTimeout as exc:
            raise ConnectionClosed("the peer sends nothing") from exc
        if first != RELAY_MARK:
            return first
        await self._serve(client)
        return None

    async def _serve(self, client: Any) -> None:
        try:
            async with curio.timeout_after(QUERY_TIMEOUT_S):
                address = decode_query(await FrameReader(client).read())
        except curio.TaskTimeout as exc:
            raise ConnectionClosed("no query from the peer within the timeout") from exc
        if address not in self._connector.known_addresses():
            raise FrameError(f"{address} is no registered upstream")
        if self._connector.paths.is_cut_off or self._relayed >= RELAYED_MAX:
            await self._answer(client, RelayOutcome.CANT_TELL, "no connection to spare")
            return
        try:
            upstream = await open_socket(address, UPSTREAM_TIMEOUT_S)
        except OSError as exc:
            self._connector.paths.record_failure()
            answered = self._connector.paths.answers_now()
            outcome = RelayOutcome.UNREACHABLE if answered else RelayOutcome.CANT_TELL
            await self._answer(client, outcome, str(exc))
            return
        self._connector.paths.record_answer(address)
        self._log.write(Event.UPSTREAM_RELAYED, upstream=str(address))
        self._relayed += 1
        try:
            async with upstream:
                await self._answer(client, RelayOutcome.OPENED)
                await relay_bytes(client, upstream)
        finally:
            self._relayed -= 1

    async def _answer(
        self, client: Any, outcome: RelayOutcome, detail: str = ""
    ) -> None:
        await client.sendall(encode_frame(encode_answer(RelayAnswer(outcome, detail))))


async def relay_bytes(first: Any, second: Any) -> None:
    """Pass on what either socket receives until one of them ends."""

    async def forward(source, destination) -> None:
        try:
            while data := await source.recv(BLOCK_BYTES):
                await destination.sendall(data)
        except OSError:
            return

    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(forward, first, second)
        await group.spawn(forward, second, first)
