"""Records that entries tell each other, and the content of their heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CrashRecord:
    """Fingerprint of a request that was in flight at upstream crashes."""

    fingerprint: str
    crashes: int
    quarantined: bool


@dataclass(frozen=True)
class BlockCrash:
    """Request in flight at an upstream's crash, with the keys of its prompt's blocks.

    ``age_s`` is the time since the crash, as of when the message was written.
    """

    request: str
    crash_id: str
    blocks: tuple[str, ...]
    age_s: float


@dataclass(frozen=True)
class BlockAnswer:
    """Prompt block that was part of a complete answer ``age_s`` seconds ago."""

    block: str
    age_s: float


@dataclass(frozen=True)
class BlockRecords:
    """What one entry tells another of blocks and crashes."""

    crashes: tuple[BlockCrash, ...] = ()
    answers: tuple[BlockAnswer, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.crashes or self.answers)


NO_BLOCK_RECORDS = BlockRecords()


@dataclass(frozen=True)
class SentWork:
    """Work that one entry has in flight on one upstream."""

    upstream: str
    requests: int
    prefill_tokens: int


@dataclass(frozen=True)
class LimitRecord:
    """Request limit of an upstream, in requests/s; infinite if it has ended.

    ``age_s`` is the time since an answer stated it last, as of when the message was
    written.
    """

    upstream: str
    per_s: float
    age_s: float


@dataclass(frozen=True)
class EntryRecord:
    """State of one entry; the ages are as of when the message was written.

    ``confirmed_age_s`` is the time since the table last confirmed that no generation
    above ``generation`` was accepted; None when never. ``heard_age_s`` is the time
    since the entry itself reported this state; 0 in its own heartbeat.
    """

    entry_id: str
    incarnation: int
    generation: int
    confirmed_age_s: float | None
    heard_age_s: float = 0.0
    leaving: bool = False
    ready: bool = False


@dataclass(frozen=True)
class PeerDigest:
    """Content of a heartbeat: the sender, and some of the other known entries.

    ``needs_manifest`` requests the receiver's manifest: a higher generation exists, and
    the sender can't reach the table.
    """

    entry: EntryRecord
    others: tuple[EntryRecord, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()
    sent_work: tuple[SentWork, ...] = ()
    limits: tuple[LimitRecord, ...] = ()
    needs_manifest: bool = False
    block_records: BlockRecords = NO_BLOCK_RECORDS
