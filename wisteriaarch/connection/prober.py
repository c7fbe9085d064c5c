"""Failure detection and gossip between entries over UDP.

In each interval an entry pings one other, in random order, so that its cost doesn't
grow with the number of entries. An entry that doesn't answer is pinged through relays,
then directly and through relays once more, before it is marked dead. A death, and each
change of an entry's own state, is sent to all others at once; lost datagrams are made
up for by the recent changes that pings and acks carry.
"""

import random
from collections.abc import Awaitable, Callable, Iterable

import curio
from curio import socket

from ..errors import FrameError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.digest import (
    NO_BLOCK_RECORDS,
    BlockRecords,
    CrashRecord,
)
from ..process.member_list import MemberList, MemberState
from ..process.table_update import TableUpdate
from ..wire import Address
from .datagram_answers import RELAY_TIMEOUT_S, DatagramAnswers
from .gossip import Gossip
from .member_codec import Datagram, DatagramKind, decode_datagram, encode_datagram
from .own_datagrams import OwnDatagrams, VersionsInForce
from .pending_pings import PendingPings

PROBE_EVERY_S = 0.5
ACK_TIMEOUT_S = 0.25
FINAL_TIMEOUT_S = 0.35
RELAYS_MAX = 3
DATAGRAM_MAX_BYTES = 32 * 1024
# An entry that receives nothing for this time may itself be isolated, and marks no
# other entry dead. Skipped with ISOLATION_EXEMPT_OTHERS_MAX or fewer others.
ISOLATED_AFTER_S = 1.0
ISOLATION_EXEMPT_OTHERS_MAX = 3
# A wait that exceeds its timeout by this factor means that this process was paused.
PAUSE_DETECTION_FACTOR = 2.0
SEED_QUERY_EVERY_S = 0.5
REFUTATIONS = 3
REFUTATION_EVERY_S = 0.15

TableUpdateHandler = Callable[[str, tuple[TableUpdate, ...]], Awaitable[None]]


class Prober:
    """Keeps a ``MemberList`` up to date.

    ``list_entry_ids`` returns the ids of entries that may exist; an id is the IP
    address of its entry, and ``port`` is the UDP port of all entries. ``versions`` has
    those in force at this entry. ``gossip`` has the other records that datagrams carry;
    ``on_table_updates`` is called with the updates of store tables that others send.
    """

    def __init__(
        self,
        members: MemberList,
        list_entry_ids: Callable[[], Iterable[str]],
        port: int,
        versions: VersionsInForce,
        log: EventLog,
        seed: int | None = None,
    ):
        self.members = members
        self.gossip = Gossip()
        self.on_table_updates: TableUpdateHandler | None = None
        self._list_entry_ids = list_entry_ids
        self._port = port
        self._datagrams = OwnDatagrams(members, self.gossip, versions)
        self._log = log
        self._rng = random.Random(seed)
        self._sock = None
        self._pings = PendingPings()
        self._answers = DatagramAnswers(
            members, self.gossip, self._pings, self._datagrams, self._send, self._ping
        )
        self._probe_order: list[str] = []
        self._last_received_at_s = now_s()

    async def run(self) -> None:
        """Probe other entries and answer their probes, forever."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with self._sock:
            self._sock.bind((self.members.own_record.entry_id, self._port))
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._receive)
                await group.spawn(self._probe_periodically)

    async def announce(
        self,
        crashes: tuple[CrashRecord, ...] = (),
        blocks: BlockRecords = NO_BLOCK_RECORDS,
    ) -> None:
        """Send this entry's own record, and crashes, to all others."""
        await self._broadcast(self._datagrams.update(crashes=crashes, blocks=blocks))

    async def send_table_updates(self, updates: tuple[TableUpdate, ...]) -> None:
        """Send table updates that this entry has read from the store to all others."""
        kind = DatagramKind.TABLE_UPDATE
        await self._broadcast(self._datagrams.build(kind, table_updates=updates))

    async def _broadcast(self, datagram: Datagram) -> None:
        data = encode_datagram(datagram)
        names = {item.entry_id for item in self.members.living_others()}
        names.update(self._list_entry_ids())
        names.update(item.entry_id for item in datagram.others)
        for name in names - {self.members.own_record.entry_id}:
            await self._send(data, (name, self._port))

    async def _send(self, data: bytes, address: tuple[str, int]) -> None:
        if self._sock is None:
            return
        try:
            await self._sock.sendto(data, address)
        except (OSError, UnicodeError, curio.errors.WriteResourceBusy) as exc:
            self._log.write(
                Event.PEER_SEND_FAILED, peer=str(Address(*address)), error=str(exc)
            )

    async def _probe_periodically(self) -> None:
        seeds_queried_at_s = float("-inf")
        while True:
            if not self.members.living_others():
                if now_s() - seeds_queried_at_s >= SEED_QUERY_EVERY_S:
                    seeds_queried_at_s = now_s()
                    await self._request_members()
            else:
                target = self._next_target()
                if target is not None:
                    await curio.spawn(self._probe, target, daemon=True)
            await curio.sleep(PROBE_EVERY_S * self._rng.uniform(0.8, 1.2))

    async def _request_members(self) -> None:
        await self._broadcast(self._datagrams.update(requests_all=True))

    def _next_target(self) -> str | None:
        living = {item.entry_id for item in self.members.living_others()}
        while self._probe_order:
            name = self._probe_order.pop()
            if name in living:
                return name
        self._probe_order = list(living)
        self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    async def _probe(self, target: str) -> None:
        """Ping an entry directly and through relays; mark it dead if no ack arrives."""
        with self._pings.expect_ack() as (sequence, acked):
            for send_ping, timeout_s in (
                (self._ping, ACK_TIMEOUT_S),
                (self._ping_through_others, RELAY_TIMEOUT_S),
                (self._ping_every_way, FINAL_TIMEOUT_S),
            ):
                sent_at_s = now_s()
                await send_ping(target, sequence)
                async with curio.ignore_after(timeout_s):
                    await acked.wait()
                if acked.is_set() or self._was_paused(sent_at_s, timeout_s):
                    return
        if not self._may_be_isolated():
            await self._mark_dead(target)

    def _was_paused(self, since_s: float, planned_s: float) -> bool:
        return now_s() - since_s > PAUSE_DETECTION_FACTOR * planned_s

    def _may_be_isolated(self) -> bool:
        if len(self.members.living_others()) <= ISOLATION_EXEMPT_OTHERS_MAX:
            return False
        return now_s() - self._last_received_at_s > ISOLATED_AFTER_S

    async def _mark_dead(self, target: str) -> None:
        dead = self.members.mark_dead(target)
        if dead is None:
            return
        self._log.write(Event.ENTRY_DECLARED_DEAD, peer=target)
        await self._broadcast(self._datagrams.update(others=(dead,)))

    async def _ping(self, target: str, sequence: int) -> None:
        datagram = self._datagrams.probe(DatagramKind.PING, sequence)
        await self._send(encode_datagram(datagram), (target, self._port))

    async def _ping_through_others(self, target: str, sequence: int) -> None:
        names = [
            item.entry_id
            for item in self.members.living_others()
            if item.entry_id != target and item.state is MemberState.ALIVE
        ]
        datagram = self._datagrams.build(
            DatagramKind.RELAY, sequence=sequence, target=target
        )
        data = encode_datagram(datagram)
        for name in self._rng.sample(names, min(RELAYS_MAX, len(names))):
            await self._send(data, (name, self._port))

    async def _ping_every_way(self, target: str, sequence: int) -> None:
        await self._ping(target, sequence)
        await self._ping_through_others(target, sequence)

    async def _receive(self) -> None:
        while True:
            data, address = await self._sock.recvfrom(DATAGRAM_MAX_BYTES)
            try:
                datagram = decode_datagram(data)
            except FrameError as exc:
                sender_address = str(Address(*address))
                self._log.write(
                    Event.PEER_FRAME_REFUSED, address=sender_address, error=str(exc)
                )
                continue
            await self._handle_datagram(datagram, address)

    async def _handle_datagram(
        self, datagram: Datagram, address: tuple[str, int]
    ) -> None:
        self._last_received_at_s = now_s()
        sender = datagram.sender
        known = self.members.get(sender.entry_id)
        is_new = known is None or known.incarnation < sender.incarnation
        self.members.merge(sender)
        self.members.record_contact(sender.entry_id)
        changed_ids = [
            item.entry_id for item in datagram.others if self.members.merge(item)
        ]
        if self.members.own_record.entry_id in changed_ids:
            await curio.spawn(self._refute, daemon=True)
        if datagram.table_updates and self.on_table_updates is not None:
            await self.on_table_updates(sender.entry_id, datagram.table_updates)
        self.gossip.apply(datagram)
        await self._answers.answer(datagram, address, is_new)
        await self._answers.notify_if_marked_dead(sender, address)

    async def _refute(self) -> None:
        """Announce that this entry is alive.

        Repeats the announcement because datagrams may be lost.
        """
        for _ in range(REFUTATIONS):
            await self.announce()
            await curio.sleep(REFUTATION_EVERY_S)
