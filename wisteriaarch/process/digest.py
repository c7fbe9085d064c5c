"""What an entry tells its peers in each heartbeat."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CrashRecord:
    """Request fingerprint seen in flight at upstream crashes."""

    fingerprint: str
    crashes: int
    quarantined: bool


@dataclass(frozen=True)
class SentWork:
    """Work that one entry has in flight on one upstream."""

    upstream: str
    requests: int
    prefill_tokens: int


@dataclass(frozen=True)
class PlacedPart:
    """Shared part of a prompt that an engine was given.

    ``tokens`` is how many tokens the whole prompt has added to the engine's memory.
    ``number`` tells it apart from others of the same entry, as it is told repeatedly.
    With ``ready`` the part has been read; before, the engine has begun or will begin.
    """

    upstream: str
    part_id: str
    tokens: int
    number: int = 0
    ready: bool = False


@dataclass(frozen=True)
class ReadingDemand:
    """Reading of prompts that one entry places on a service's engines, by stage.

    In engines that it keeps busy, that is, seconds of reading a second.
    """

    service: str
    prefill: float = 0.0
    decode: float = 0.0


@dataclass(frozen=True)
class StageNotice:
    """Engine that is about to change its stage or is doing so.

    ``age_s`` is how long ago that began, as of when the message was written.
    """

    upstream: str
    stage: str
    age_s: float = 0.0


@dataclass(frozen=True)
class EntryRecord:
    """State of one entry; the ages are as of when the message was written.

    ``confirmed_age_s`` is how long ago the table last confirmed that no generation
    above ``generation`` was accepted; None when never. ``heard_age_s`` is how long ago
    the entry itself gave this state; 0 in its own heartbeat.
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
    """Content of a heartbeat: the sender, and some of the other entries it knows.

    ``needs_manifest`` asks the receiver for its manifest: the sender knows of a higher
    generation and can't reach the table.
    """

    entry: EntryRecord
    others: tuple[EntryRecord, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()
    sent_work: tuple[SentWork, ...] = ()
    needs_manifest: bool = False
    placed_parts: tuple[PlacedPart, ...] = ()
    reading: tuple[ReadingDemand, ...] = ()
    stage_notices: tuple[StageNotice, ...] = ()
