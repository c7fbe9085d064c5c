"""Heartbeats with the neighbours of this entry, with one task per neighbour."""

import random
from collections import Counter

import curio

from ..errors import ConfigError, FrameError, WisteriaError
from ..event_log import EventLog
from ..events import Event
from ..process.backoff import Backoff
from ..process.clock import now_s
from ..process.digest import PeerDigest
from ..process.fleet import Fleet
from ..process.heartbeat import DigestHooks, HeartbeatComposer
from ..process.manifest_copy import ManifestCopySource
from ..process.membership import Membership
from ..process.neighbours import choose_neighbours, is_initiator
from ..process.peer_settings import PeerSettings
from ..process.store import Instance
from ..sockets import listen_on, serve_clients
from ..wire import Address
from .peer_codec import MessageKind, PeerMessage
from .peer_connection import PeerConnection
from .relay_server import RelayServer

RETRY_MAX_S = 1.0
MIN_EXCHANGE_TIMEOUT_S = 2.0
MISSED_HEARTBEATS_MAX = 8
CONNECT_AFTER_HEARTBEATS = 4


class PeerNetwork:
    """Exchanges heartbeats with neighbours, and manifests during a table outage."""

    def __init__(
        self,
        settings: PeerSettings,
        fleet: Fleet,
        membership: Membership,
        watcher: ManifestCopySource,
        log: EventLog,
        hooks: DigestHooks | None = None,
        relay: RelayServer | None = None,
    ):
        self._relay = relay
        self._settings = settings
        self._fleet = fleet
        self._membership = membership
        self._watcher = watcher
        self._log = log
        self.hooks = hooks or DigestHooks()
        self._every_s = settings.heartbeat_every_s
        self._timeout_s = max(
            MIN_EXCHANGE_TIMEOUT_S, MISSED_HEARTBEATS_MAX * self._every_s
        )
        self._accepted_counts: Counter[str] = Counter()
        self._connected: set[Instance] = set()
        self._rng = random.Random(settings.seed)
        self._tasks: dict[Instance, curio.Task] = {}

    async def run(self) -> None:
        """Accept peers and run a task for each neighbour, forever."""
        listen = self._settings.peer_listen
        sock = listen_on("peer_listen", Address(listen.host, listen.port))
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(serve_clients, sock, self._serve_peer, self._log)
                await group.spawn(self._follow_neighbours)
        finally:
            for task in self._tasks.values():
                await task.cancel()

    async def _follow_neighbours(self) -> None:
        while True:
            neighbours = self._neighbours()
            for peer in self._tasks.keys() - neighbours:
                await self._tasks.pop(peer).cancel()
            for peer, task in list(self._tasks.items()):
                if task.terminated:
                    del self._tasks[peer]
            for peer in neighbours - self._tasks.keys():
                self._tasks[peer] = await curio.spawn(self._maintain_heartbeats, peer)
            await curio.sleep(self._every_s)

    def _neighbours(self) -> set[Instance]:
        entries = {
            item.instance_id: item
            for item in self._fleet.of_kind("entry")
            if item.peer_address is not None
        }
        names = choose_neighbours(
            self._settings.entry_id, entries, self._settings.peers_max
        )
        return {entries[name] for name in names}

    async def _maintain_heartbeats(self, peer: Instance) -> None:
        backoff = Backoff(self._every_s, RETRY_MAX_S, self._rng)
        loss_logged = False
        while True:
            await self._wait_to_connect(peer)
            self._connected.discard(peer)
            try:
                async with await PeerConnection.connect(peer.peer_address) as conn:
                    await self._exchange_heartbeats(peer, conn)
            except (OSError, WisteriaError) as exc:
                connected = peer in self._connected
                if connected or not loss_logged:
                    self._log.write(
                        Event.PEER_DISCONNECTED, peer=peer.instance_id, error=str(exc)
                    )
                loss_logged = True
            await curio.sleep(backoff.next_delay_s(connected))

    async def _wait_to_connect(self, peer: Instance) -> None:
        if is_initiator(self._settings.entry_id, peer.instance_id):
            return
        since_s = now_s()
        while now_s() - since_s < CONNECT_AFTER_HEARTBEATS * self._every_s:
            await curio.sleep(self._every_s)
            if self._accepted_counts[peer.instance_id]:
                since_s = now_s()

    async def _exchange_heartbeats(self, peer: Instance, conn: PeerConnection) -> None:
        composer = HeartbeatComposer(self._membership, self.hooks)
        await self._exchange(conn, composer, peer.instance_id)
        self._connected.add(peer)
        self._log.write(Event.PEER_CONNECTED, peer=peer.instance_id)
        while True:
            await curio.sleep(self._every_s)
            reply = await self._exchange(conn, composer, peer.instance_id)
            peer_generation = reply.digest.entry.generation
            if self._needs_manifest() and peer_generation > self._watcher.generation:
                query = MessageKind.MANIFEST_QUERY
                await self._exchange(conn, composer, peer.instance_id, query)
            elif (
                reply.digest.needs_manifest
                and peer_generation < self._watcher.generation
            ):
                push = MessageKind.MANIFEST
                await self._exchange(conn, composer, peer.instance_id, push)

    async def _exchange(
        self,
        conn: PeerConnection,
        composer: HeartbeatComposer,
        peer_id: str,
        kind: MessageKind = MessageKind.HEARTBEAT,
    ) -> PeerMessage:
        await self._send(conn, composer, peer_id, kind)
        reply = await conn.receive(self._timeout_s)
        await self._apply_message(conn, reply)
        return reply

    async def _serve_peer(self, client) -> None:
        address = Address(*client.getpeername())
        try:
            received = b""
            if self._relay is not None:
                received = await self._relay.serve_if_asked(client)
            if received is not None:
                await self._answer_heartbeats(client, received)
        except FrameError as exc:
            self._log.write(
                Event.PEER_FRAME_REFUSED, address=str(address), error=str(exc)
            )
        except (OSError, WisteriaError):
            return

    async def _answer_heartbeats(self, client, received: bytes) -> None:
        conn = PeerConnection.from_socket(client, received)
        composer = HeartbeatComposer(self._membership, self.hooks)
        peer_id = None
        try:
            while True:
                message = await conn.receive(self._timeout_s)
                if peer_id is None:
                    peer_id = message.digest.entry.entry_id
                    self._accepted_counts[peer_id] += 1
                await self._apply_message(conn, message)
                await self._send(conn, composer, peer_id, _reply_kind(message))
        finally:
            if peer_id is not None:
                self._accepted_counts[peer_id] -= 1

    async def _send(
        self,
        conn: PeerConnection,
        composer: HeartbeatComposer,
        peer_id: str,
        kind: MessageKind,
    ) -> None:
        copy = None
        if kind is MessageKind.MANIFEST:
            copy = self._watcher.make_copy()
        if copy is None and kind is MessageKind.MANIFEST:
            kind = MessageKind.HEARTBEAT
        digest = composer.compose(peer_id, self._needs_manifest())
        await conn.send(kind, digest, copy)

    async def _apply_message(self, conn: PeerConnection, message: PeerMessage) -> None:
        digest = message.digest
        self._membership.apply_digest(digest, conn.written_after_s(message))
        self._apply_upstream_records(digest)
        if message.manifest is not None:
            await self._install_copy(message)
        await self._watcher.observe_generation(self._membership.highest_generation())

    def _apply_upstream_records(self, digest: PeerDigest) -> None:
        self.hooks.apply_crash_records(digest.crash_records)
        if digest.block_records:
            self.hooks.apply_blocks(digest.block_records)
        self.hooks.apply_sent_work(digest.entry.entry_id, digest.sent_work)
        self.hooks.apply_limits(digest.limits)

    async def _install_copy(self, message: PeerMessage) -> None:
        try:
            await self._watcher.install_copy(message.manifest)
        except ConfigError as exc:
            self._log.write(
                Event.MANIFEST_COPY_REFUSED,
                peer=message.digest.entry.entry_id,
                error=str(exc),
            )

    def _needs_manifest(self) -> bool:
        accepted = max(
            self._membership.highest_generation(), self._watcher.accepted_generation
        )
        return accepted > self._watcher.generation and not self._watcher.has_contact()


def _reply_kind(message: PeerMessage) -> MessageKind:
    if message.kind == MessageKind.MANIFEST_QUERY:
        return MessageKind.MANIFEST
    return MessageKind.HEARTBEAT
