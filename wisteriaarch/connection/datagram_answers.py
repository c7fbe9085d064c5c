"""Answers to the datagrams of other entries."""

from collections.abc import Awaitable, Callable

import curio

from ..process.member_list import MemberList, MemberRecord, MemberState
from .gossip import Gossip
from .member_codec import Datagram, DatagramKind, encode_datagram
from .own_datagrams import OwnDatagrams
from .pending_pings import PendingPings, RelayedPing

MEMBERS_PER_DATAGRAM_MAX = 32
RELAY_TIMEOUT_S = 0.3

UdpAddress = tuple[str, int]


class DatagramAnswers:
    """Answers pings, relays those of others, and sends the records asked for.

    ``send`` sends the data of a datagram to an address; ``ping`` pings an entry with a
    sequence number.
    """

    def __init__(
        self,
        members: MemberList,
        gossip: Gossip,
        pings: PendingPings,
        datagrams: OwnDatagrams,
        send: Callable[[bytes, UdpAddress], Awaitable[None]],
        ping: Callable[[str, int], Awaitable[None]],
    ):
        self._members = members
        self._gossip = gossip
        self._pings = pings
        self._datagrams = datagrams
        self._send_data = send
        self._ping = ping

    async def answer(
        self, datagram: Datagram, address: UdpAddress, is_new: bool
    ) -> None:
        """Answer a datagram; ``is_new`` marks a sender that wasn't known before."""
        kind = datagram.kind
        if kind is DatagramKind.PING:
            await self._ack(datagram.sequence, address)
        elif kind is DatagramKind.RELAY:
            await self._relay(datagram, address)
        elif kind is DatagramKind.ACK:
            await self._handle_ack(datagram.sequence)
        elif datagram.requests_all:
            await self._send_members(address)
        elif is_new:
            await self._ack(0, address)

    async def notify_if_marked_dead(
        self, sender: MemberRecord, address: UdpAddress
    ) -> None:
        """Notify an entry that is marked dead here, so that it can refute this."""
        known = self._members.get(sender.entry_id)
        if known is None or known.state is not MemberState.DEAD:
            return
        await self._send(self._datagrams.update(others=(known,)), address)

    async def _send(self, datagram: Datagram, address: UdpAddress) -> None:
        await self._send_data(encode_datagram(datagram), address)

    async def _ack(self, sequence: int, address: UdpAddress) -> None:
        await self._send(self._datagrams.probe(DatagramKind.ACK, sequence), address)

    async def _relay(self, datagram: Datagram, address: UdpAddress) -> None:
        sequence = self._pings.add_relayed(RelayedPing(address, datagram.sequence))
        await self._ping(datagram.target, sequence)
        remove = self._pings.remove_relayed
        await curio.spawn(remove, sequence, RELAY_TIMEOUT_S, daemon=True)

    async def _handle_ack(self, sequence: int) -> None:
        relayed = await self._pings.handle_ack(sequence)
        if relayed is not None:
            await self._ack(relayed.sequence, relayed.requester)

    async def _send_members(self, address: UdpAddress) -> None:
        """Send all records and known crashes to an entry that has just started."""
        records = self._members.all_records()
        records_of_gossip = self._gossip.start_fields()
        for start in range(0, len(records), MEMBERS_PER_DATAGRAM_MAX):
            page = tuple(records[start : start + MEMBERS_PER_DATAGRAM_MAX])
            update = self._datagrams.update(others=page, **records_of_gossip)
            await self._send(update, address)
