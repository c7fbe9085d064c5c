"""Heartbeat messages between entries, encoded with Cap'n Proto.

Messages are compressed with zlib. Cap'n Proto's own packing is not used because its
reader aborts the process on truncated packed data.
"""

import zlib
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import capnp

from ..errors import FrameError
from ..process.digest import (
    CrashRecord,
    EntryRecord,
    PeerDigest,
    SentWork,
)
from ..process.manifest_copy import ManifestCopy
from .block_codec import block_fields, block_records_from
from .limit_codec import limit_fields, limit_from

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "peer.capnp"
PROTOCOL_VERSION = 1
NEVER_MS = 0xFFFFFFFF
MAX_RECORDS = 1024
COMPRESSION_LEVEL = 1
CONTENT_MAX_BYTES = 16 * 1024 * 1024

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


class MessageKind(IntEnum):
    """Kind of a message; receivers answer an unknown kind with a heartbeat."""

    HEARTBEAT = 1
    MANIFEST_QUERY = 2
    MANIFEST = 3


@dataclass(frozen=True)
class PeerMessage:
    """Message between two entries; every kind carries the sender's digest.

    ``echo`` is the last sequence number that the sender received on this connection.
    The receiver knows when it sent that number, so the digest was composed after that
    time by the receiver's own clock.
    """

    kind: int
    sequence: int
    echo: int
    digest: PeerDigest
    manifest: ManifestCopy | None = None
    version: int = PROTOCOL_VERSION


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    frame = _schema.Message.new_message(
        version=message.version,
        kind=int(message.kind),
        sequence=message.sequence,
        echo=message.echo,
        digest=_digest_fields(message.digest),
    )
    if message.manifest is not None:
        frame.manifest = {
            "head": message.manifest.head,
            "body": message.manifest.body,
            "rowVersion": message.manifest.row_version,
        }
    return zlib.compress(frame.to_bytes(), COMPRESSION_LEVEL)


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message; raises FrameError if it is malformed."""
    try:
        with _schema.Message.from_bytes(_decompress(data)) as frame:
            return _message_from_frame(frame)
    except (capnp.KjException, ValueError, zlib.error) as exc:
        raise FrameError(f"malformed frame: {str(exc).splitlines()[0]}") from exc


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, CONTENT_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed data is truncated or too large")
    return content


def _message_from_frame(frame) -> PeerMessage:
    manifest = None
    if frame.kind == MessageKind.MANIFEST:
        copy = frame.manifest
        manifest = ManifestCopy(bytes(copy.head), bytes(copy.body), copy.rowVersion)
    return PeerMessage(
        kind=frame.kind,
        sequence=frame.sequence,
        echo=frame.echo,
        digest=_digest_from_frame(frame.digest),
        manifest=manifest,
        version=frame.version,
    )


def _digest_from_frame(digest) -> PeerDigest:
    lists = (
        digest.others,
        digest.crashRecords,
        digest.sentWork,
        digest.limits,
    )
    if any(len(items) > MAX_RECORDS for items in lists):
        raise FrameError(f"more than {MAX_RECORDS} records in a frame")
    entry = _record_from_frame(digest.entry)
    if not entry.entry_id:
        raise FrameError("the sender's entry id is missing from the frame")
    return PeerDigest(
        entry=entry,
        others=tuple(_record_from_frame(item) for item in digest.others),
        crash_records=tuple(
            CrashRecord(item.fingerprint, item.crashes, item.quarantined)
            for item in digest.crashRecords
        ),
        sent_work=tuple(
            SentWork(item.upstream, item.requests, item.prefillTokens)
            for item in digest.sentWork
        ),
        limits=tuple(limit_from(item) for item in digest.limits),
        needs_manifest=digest.needsManifest,
        block_records=block_records_from(digest.blocks, MAX_RECORDS),
    )


def _record_from_frame(item) -> EntryRecord:
    age_ms = item.confirmedAgeMs
    return EntryRecord(
        entry_id=item.entryId,
        incarnation=item.incarnation,
        generation=item.generation,
        confirmed_age_s=None if age_ms == NEVER_MS else age_ms / 1000,
        heard_age_s=item.heardAgeMs / 1000,
        leaving=item.leaving,
        ready=item.ready,
    )


def _digest_fields(digest: PeerDigest) -> dict:
    return {
        "entry": _record_fields(digest.entry),
        "others": [_record_fields(item) for item in digest.others],
        "crashRecords": [vars(item) for item in digest.crash_records],
        "sentWork": [
            {
                "upstream": item.upstream,
                "requests": item.requests,
                "prefillTokens": item.prefill_tokens,
            }
            for item in digest.sent_work
        ],
        "limits": [limit_fields(item) for item in digest.limits],
        "needsManifest": digest.needs_manifest,
        "blocks": block_fields(digest.block_records),
    }


def _record_fields(item: EntryRecord) -> dict:
    confirmed_ms = NEVER_MS
    if item.confirmed_age_s is not None:
        confirmed_ms = _age_ms(item.confirmed_age_s)
    return {
        "entryId": item.entry_id,
        "incarnation": item.incarnation,
        "generation": item.generation,
        "confirmedAgeMs": confirmed_ms,
        "heardAgeMs": _age_ms(item.heard_age_s),
        "leaving": item.leaving,
        "ready": item.ready,
    }


def _age_ms(age_s: float) -> int:
    return min(NEVER_MS - 1, int(age_s * 1000) + 1)
