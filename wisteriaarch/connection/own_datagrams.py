"""Datagrams that tell other entries the state of this one."""

from typing import Any, Protocol

from ..process.member_list import MemberList, MemberRecord
from ..process.rows import StorePosition
from .gossip import Gossip
from .member_codec import Datagram, DatagramKind

CHANGES_PER_PROBE_MAX = 4


class VersionsInForce(Protocol):
    """Versions that are in force at this entry.

    ``generation`` is the store position of the newest change in force.
    """

    generation: StorePosition
    configuration_version: int


class OwnDatagrams:
    """Builds datagrams; each carries this entry's current record."""

    def __init__(self, members: MemberList, gossip: Gossip, versions: VersionsInForce):
        self._members = members
        self._gossip = gossip
        self._versions = versions

    def build(self, kind: DatagramKind, **fields: Any) -> Datagram:
        """Return a datagram with the given fields."""
        return Datagram(kind, self._current_record(), **fields)

    def update(self, **fields: Any) -> Datagram:
        """Return a datagram with member records or crashes."""
        return self.build(DatagramKind.MEMBER_UPDATE, **fields)

    def probe(self, kind: DatagramKind, sequence: int) -> Datagram:
        """Return a ping or an ack, which carries recent changes too."""
        return Datagram(
            kind,
            self._current_record(),
            sequence,
            tuple(self._members.recent_changes(CHANGES_PER_PROBE_MAX)),
            **self._gossip.probe_fields(),
        )

    def _current_record(self) -> MemberRecord:
        versions = self._versions
        self._members.update_own_positions(
            versions.generation, versions.configuration_version
        )
        return self._members.own_record
