"""Membership datagrams between entries, encoded with Cap'n Proto."""

import math
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import capnp

from ..errors import FrameError
from ..process.digest import (
    NO_BLOCK_RECORDS,
    BlockRecords,
    CrashRecord,
    LimitRecord,
)
from ..process.member_list import MemberRecord, MemberState
from ..process.rows import RowTable, StoredRow, StorePosition
from ..process.table_update import TableUpdate
from .block_codec import block_fields, block_records_from
from .limit_codec import limit_fields, limit_from

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "members.capnp"
RECORDS_MAX = 64
MS_PER_S = 1000
NO_AGE_MS = 0xFFFFFFFF

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


class DatagramKind(IntEnum):
    """Kind of a datagram.

    RELAY requests that the receiver ping ``target`` and forward its ack. Member records
    and crashes are sent unasked; they are answered only if ``requests_all`` is set or
    their sender is new to the receiver. Table updates have a kind of their own.
    """

    PING = 1
    ACK = 2
    RELAY = 3
    MEMBER_UPDATE = 4
    TABLE_UPDATE = 5


@dataclass(frozen=True)
class Datagram:
    """Membership datagram; every kind carries the sender's record.

    ``sequence`` is that of a ping, repeated in its ack. ``target`` is the entry to ping
    for RELAY. ``requests_all`` requests the records of all members. ``limits`` are
    request limits of upstreams, ``blocks`` what is known of prompt blocks and crashes;
    any kind may carry them. ``time_s`` is the sender's estimate of the time since the
    start of 1970, 0 for none.
    """

    kind: DatagramKind
    sender: MemberRecord
    sequence: int = 0
    others: tuple[MemberRecord, ...] = ()
    target: str = ""
    requests_all: bool = False
    crashes: tuple[CrashRecord, ...] = ()
    table_updates: tuple[TableUpdate, ...] = ()
    limits: tuple[LimitRecord, ...] = ()
    blocks: BlockRecords = NO_BLOCK_RECORDS
    time_s: float = 0.0


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    message = _schema.Datagram.new_message(
        kind=int(datagram.kind),
        sequence=datagram.sequence,
        sender=_member_fields(datagram.sender),
        others=[_member_fields(item) for item in datagram.others],
        target=datagram.target,
        wantsAll=datagram.requests_all,
        crashes=[{"fingerprint": item.fingerprint} for item in datagram.crashes],
        tableNews=[_update_fields(item) for item in datagram.table_updates],
        limits=[limit_fields(item) for item in datagram.limits],
        timeMs=int(datagram.time_s * MS_PER_S),
    )
    if datagram.blocks:
        message.blocks = block_fields(datagram.blocks)
    return message.to_bytes()


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raises FrameError if it is malformed."""
    try:
        with _schema.Datagram.from_bytes(data) as message:
            return _datagram_from(message)
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"malformed datagram: {str(exc).splitlines()[0]}") from exc


def _datagram_from(message) -> Datagram:
    lists = (message.others, message.crashes, message.limits)
    if max(len(items) for items in lists) > RECORDS_MAX:
        raise FrameError(f"more than {RECORDS_MAX} records in a datagram")
    return Datagram(
        kind=DatagramKind(message.kind),
        sender=_member_from(message.sender),
        sequence=message.sequence,
        others=tuple(_member_from(item) for item in message.others),
        target=message.target,
        requests_all=message.wantsAll,
        crashes=tuple(
            CrashRecord(item.fingerprint, 1, quarantined=False)
            for item in message.crashes
        ),
        table_updates=tuple(_update_from(item) for item in message.tableNews),
        limits=tuple(limit_from(item) for item in message.limits),
        blocks=block_records_from(message.blocks, RECORDS_MAX),
        time_s=message.timeMs / MS_PER_S,
    )


def _update_fields(update: TableUpdate) -> dict:
    recovery_age_s = update.recovery_age_s
    return {
        "table": update.table.value,
        "changedBefore": update.previous_changed_version,
        "version": update.version,
        "rows": [
            {
                "key": row.key,
                "version": row.version,
                "value": row.value,
                "deleted": row.deleted,
            }
            for row in update.rows
        ],
        "confirmedAgeMs": _age_ms(update.confirmed_age_s),
        "returnedAgeMs": NO_AGE_MS
        if recovery_age_s is None
        else _age_ms(recovery_age_s),
        "era": update.era,
    }


def _age_ms(age_s: float) -> int:
    return min(NO_AGE_MS - 1, max(0, int(age_s * MS_PER_S) + 1))


def _update_from(item) -> TableUpdate:
    recovery_age_ms = item.returnedAgeMs
    return TableUpdate(
        RowTable(item.table),
        item.changedBefore,
        item.version,
        tuple(
            StoredRow(row.key, row.version, bytes(row.value), row.deleted)
            for row in item.rows
        ),
        item.confirmedAgeMs / MS_PER_S,
        None if recovery_age_ms == NO_AGE_MS else recovery_age_ms / MS_PER_S,
        item.era,
    )


def _member_fields(item: MemberRecord) -> dict:
    return {
        "entryId": item.entry_id,
        "incarnation": item.incarnation,
        "revision": item.revision,
        "state": int(item.state),
        "ready": item.ready,
        "zone": item.zone,
        "cores": item.cores,
        "generation": item.generation.version,
        "era": item.generation.era,
        "configuration": item.configuration,
    }


def _member_from(item) -> MemberRecord:
    if not item.entryId:
        raise FrameError("the entry id is missing from a member record")
    if not (math.isfinite(item.cores) and item.cores >= 0):
        raise FrameError(f"expected a finite, non-negative CPU share, got {item.cores}")
    return MemberRecord(
        item.entryId,
        item.incarnation,
        item.revision,
        MemberState(item.state),
        item.ready,
        item.zone,
        item.cores,
        StorePosition(item.era, item.generation),
        item.configuration,
    )
