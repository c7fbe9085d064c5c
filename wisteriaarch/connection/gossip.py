"""Records that membership datagrams carry besides those of the members."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Any

from ..process.digest import (
    NO_BLOCK_RECORDS,
    BlockRecords,
    CrashRecord,
    LimitRecord,
)
from .member_codec import Datagram

LIMITS_PER_PROBE_MAX = 8
BLOCK_RECORDS_PER_PROBE_MAX = 16
RECORDS_AT_START_MAX = 32


def _no_limits(_count: int) -> tuple[LimitRecord, ...]:
    return ()


def _no_blocks(_count: int) -> BlockRecords:
    return NO_BLOCK_RECORDS


def _no_time() -> float:
    return 0.0


def _ignore(*_arguments: object) -> None:
    return None


@dataclass
class Gossip:
    """Callbacks that provide records for other entries, and apply those of others.

    ``limits`` are request limits of upstreams and ``blocks`` what is known of prompt
    blocks and crashes; their callbacks return up to a number of records.
    ``estimate_time`` returns this entry's estimate of the time, 0 for none; ``on_time``
    receives that of another entry.
    """

    known_crashes: Callable[[], Iterable[CrashRecord]] = tuple
    on_crashes: Callable[[tuple[CrashRecord, ...]], None] = _ignore
    known_limits: Callable[[int], Iterable[LimitRecord]] = _no_limits
    on_limits: Callable[[tuple[LimitRecord, ...]], object] = _ignore
    known_blocks: Callable[[int], BlockRecords] = _no_blocks
    on_blocks: Callable[[BlockRecords], None] = _ignore
    estimate_time: Callable[[], float] = _no_time
    on_time: Callable[[str, float], None] = _ignore

    def probe_fields(self) -> dict[str, Any]:
        """Return the fields of a datagram that pings and acks carry."""
        return {
            "limits": tuple(self.known_limits(LIMITS_PER_PROBE_MAX)),
            "blocks": self.known_blocks(BLOCK_RECORDS_PER_PROBE_MAX),
            "time_s": self.estimate_time(),
        }

    def start_fields(self) -> dict[str, Any]:
        """Return the fields of a datagram to an entry that has just started."""
        return {
            "crashes": tuple(islice(self.known_crashes(), RECORDS_AT_START_MAX)),
            "limits": tuple(self.known_limits(RECORDS_AT_START_MAX)),
            "blocks": self.known_blocks(RECORDS_AT_START_MAX),
        }

    def apply(self, datagram: Datagram) -> None:
        """Apply the records of another entry's datagram."""
        if datagram.crashes:
            self.on_crashes(datagram.crashes)
        if datagram.limits:
            self.on_limits(datagram.limits)
        if datagram.blocks:
            self.on_blocks(datagram.blocks)
        if datagram.time_s:
            self.on_time(datagram.sender.entry_id, datagram.time_s)
