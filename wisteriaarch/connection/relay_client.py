"""Opens connections to upstreams through other entries."""

import random
from collections.abc import Callable, Iterable
from typing import Any

import curio

from ..errors import ConnectionClosed, FrameError
from ..process.clock import now_s
from ..sockets import open_socket
from ..wire import Address
from .frames import FrameReader, encode_frame
from .relay_codec import RELAY_MARK, RelayOutcome, decode_answer, encode_query

PEERS_TRIED_MAX = 4
CONNECT_TIMEOUT_S = 0.1
ANSWER_TIMEOUT_S = 0.5
PEER_BACKOFF_S = 1.0


class RelayClient:
    """Asks other entries; ``list_peers`` returns the peer addresses of living ones."""

    def __init__(self, list_peers: Callable[[], Iterable[Address]], rng: random.Random):
        self._list_peers = list_peers
        self._rng = rng
        self._preferred: Address | None = None
        self._backoff_until_s: dict[Address, float] = {}

    async def open_socket(self, upstream: Address) -> Any:
        """Return a connection to an upstream through another entry.

        Raises ConnectionRefusedError if that entry can't reach the upstream either, and
        another OSError if no entry answers that can tell.
        """
        for peer in self._peers_to_try():
            try:
                sock = await self._ask(peer, upstream)
            except ConnectionRefusedError:
                self._preferred = peer
                raise
            except (OSError, FrameError, ConnectionClosed):
                self._back_off(peer)
                continue
            self._preferred = peer
            return sock
        raise TimeoutError(f"no other entry connects to {upstream}")

    def _peers_to_try(self) -> list[Address]:
        """Return the entries to ask, first the one that answered last."""
        now = now_s()
        peers = [
            peer
            for peer in self._list_peers()
            if now >= self._backoff_until_s.get(peer, float("-inf"))
        ]
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: peer != self._preferred)
        return peers[:PEERS_TRIED_MAX]

    def _back_off(self, peer: Address) -> None:
        now = now_s()
        self._backoff_until_s = {
            item: at_s for item, at_s in self._backoff_until_s.items() if at_s > now
        }
        self._backoff_until_s[peer] = now + PEER_BACKOFF_S
        if self._preferred == peer:
            self._preferred = None

    async def _ask(self, peer: Address, upstream: Address) -> Any:
        """Return the socket over which a peer relays; raises OSError or FrameError."""
        sock = await open_socket(peer, CONNECT_TIMEOUT_S)
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                await sock.sendall(RELAY_MARK + encode_frame(encode_query(upstream)))
                answer = decode_answer(await FrameReader(sock).read())
        except curio.TaskTimeout as exc:
            await sock.close()
            raise TimeoutError(f"{peer} doesn't answer") from exc
        except BaseException:
            await sock.close()
            raise
        if answer.outcome is RelayOutcome.OPENED:
            return sock
        await sock.close()
        if answer.outcome is RelayOutcome.UNREACHABLE:
            raise ConnectionRefusedError(f"{peer} can't reach {upstream} either")
        raise TimeoutError(f"{peer} can't tell: {answer.detail}")
