"""Membership datagrams between entries, encoded with Cap'n Proto."""

import math
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import capnp

from ..errors import FrameError
from ..process.digest import CrashRecord
from ..process.member_list import MemberRecord, MemberState
from ..process.rows import RowTable, StoredRow, StorePosition
from ..process.table_update import TableUpdate

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "members.capnp"
RECORDS_MAX = 64
MS_PER_S = 1000
NO_AGE_MS = 0xFFFFFFFF

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


class DatagramKind(IntEnum):
    """Kind of a datagram.

    RELAY requests that the receiver ping ``target`` and forward its ack. NEWS carries
    records of members and crashes; it is answered only if it has ``wants_all`` set or
    its sender is new to the receiver. STORE carries ``table_news``.
    """

    PING = 1
    ACK = 2
    RELAY = 3
    NEWS = 4
    STORE = 5


@dataclass(frozen=True)
class Datagram:
    """Membership datagram; every kind carries the sender's record."""

    kind: DatagramKind
    sender: MemberRecord
    sequence: int = 0
    others: tuple[MemberRecord, ...] = ()
    target: str = ""
    wants_all: bool = False
    crashes: tuple[CrashRecord, ...] = ()
    table_news: tuple[TableUpdate, ...] = ()


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    message = _schema.Datagram.new_message(
        kind=int(datagram.kind),
        sequence=datagram.sequence,
        sender=_member_fields(datagram.sender),
        others=[_member_fields(item) for item in datagram.others],
        target=datagram.target,
        wantsAll=datagram.wants_all,
        crashes=[{"fingerprint": item.fingerprint} for item in datagram.crashes],
        tableNews=[_news_fields(item) for item in datagram.table_news],
    )
    return message.to_bytes()


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raises FrameError if it is malformed."""
    try:
        with _schema.Datagram.from_bytes(data) as message:
            return _datagram_from(message)
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"malformed datagram: {str(exc).splitlines()[0]}") from exc


def _datagram_from(message) -> Datagram:
    if max(len(message.others), len(message.crashes)) > RECORDS_MAX:
        raise FrameError(f"more than {RECORDS_MAX} records in a datagram")
    return Datagram(
        kind=DatagramKind(message.kind),
        sender=_member_from(message.sender),
        sequence=message.sequence,
        others=tuple(_member_from(item) for item in message.others),
        target=message.target,
        wants_all=message.wantsAll,
        crashes=tuple(
            CrashRecord(item.fingerprint, 1, quarantined=False)
            for item in message.crashes
        ),
        table_news=tuple(_news_from(item) for item in message.tableNews),
    )


def _news_fields(news: TableUpdate) -> dict:
    returned_s = news.recovery_age_s
    return {
        "table": news.table.value,
        "changedBefore": news.previous_changed_version,
        "version": news.version,
        "rows": [
            {
                "key": row.key,
                "version": row.version,
                "value": row.value,
                "deleted": row.deleted,
            }
            for row in news.rows
        ],
        "confirmedAgeMs": _age_ms(news.confirmed_age_s),
        "returnedAgeMs": NO_AGE_MS if returned_s is None else _age_ms(returned_s),
        "era": news.era,
    }


def _age_ms(age_s: float) -> int:
    return min(NO_AGE_MS - 1, max(0, int(age_s * MS_PER_S) + 1))


def _news_from(item) -> TableUpdate:
    returned_ms = item.returnedAgeMs
    return TableUpdate(
        RowTable(item.table),
        item.changedBefore,
        item.version,
        tuple(
            StoredRow(row.key, row.version, bytes(row.value), row.deleted)
            for row in item.rows
        ),
        item.confirmedAgeMs / MS_PER_S,
        None if returned_ms == NO_AGE_MS else returned_ms / MS_PER_S,
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
