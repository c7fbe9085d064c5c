"""What an entry knows of the software versions on which a service's streams began."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..process.clock import now_s
from ..process.version_records import WITHDRAWN_VERSION, VersionSnapshot

# A caller may resume a stream until its deadline; longer deadlines extend this.
STREAM_LIFETIME_MIN_S = 30.0
# The end of an answer may not have reached its caller when it was sent.
ANSWERED_RETENTION_S = 5.0
RETURN_WAIT_S = 3.0
STREAMS_PER_WRITE_MAX = 20_000
# Stands for versions that the store may have lost; no upstream has it.
LOST_VERSION = "\0lost"


@dataclass(slots=True)
class _Stream:
    """Stream placed by this entry."""

    version: str
    expires_at_s: float
    is_answered: bool = False


class ServiceVersions:
    """Versions in service and the streams that began on them; does no I/O.

    ``served`` are the versions that streams may have begun on according to the store in
    its present era; None if this isn't known. No stream begins on a version that isn't
    among them. While there are several, the streams are recorded in the store, so that
    a stream without a record began on the only version.
    """

    def __init__(self, clock: Callable[[], float] = now_s):
        self.served: frozenset[str] | None = None
        self.registered: frozenset[str] = frozenset()
        self._clock = clock
        self._earlier_served: frozenset[str] = frozenset()
        self._seen_at_s: dict[str, float] = {}
        self._streams: dict[str, _Stream] = {}
        self._answered: dict[str, _Stream] = {}
        self._unrecorded: dict[str, _Stream] = {}
        self._recorded: dict[str, str | None] = {}
        self._recorded_here: dict[str, str | None] = {}
        self._row_seen_at_s: dict[str, float] = {}
        self._lifetime_s = STREAM_LIFETIME_MIN_S

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Registered versions that no stream may begin on yet."""
        return self.registered - (self.served or frozenset())

    @property
    def is_mixed(self) -> bool:
        """Whether streams may have begun on more than one version."""
        return len((self.served or frozenset()) | self.registered) != 1

    @property
    def only_version(self) -> str | None:
        """Version that every stream without a record began on; None if unknown."""
        if self.served is None or len(self.served) != 1:
            return None
        return next(iter(self.served))

    def observe_registered(self, versions: frozenset[str]) -> None:
        """Observe the versions of the registered upstreams."""
        self.registered = versions
        now = self._clock()
        for version in versions:
            self._seen_at_s[version] = now

    def was_seen_recently(self, version: str) -> bool:
        """Whether upstreams of a version were registered within ``RETURN_WAIT_S``."""
        seen_at_s = self._seen_at_s.get(version, float("-inf"))
        return self._clock() - seen_at_s < RETURN_WAIT_S

    def add(self, key: str, version: str, remaining_s: float) -> None:
        """Add a stream that may begin on a version within its remaining time."""
        self._lifetime_s = max(self._lifetime_s, remaining_s)
        stream = _Stream(version, self._clock() + self._lifetime_s)
        known = self._streams.pop(key, None)
        self._streams[key] = stream
        if known is None or known.version != version or key in self._unrecorded:
            self._unrecorded[key] = stream

    def end(self, key: str) -> None:
        """Record that a stream was answered completely."""
        stream = self._streams.pop(key, None)
        if stream is None:
            return
        stream.is_answered = True
        stream.expires_at_s = self._clock() + ANSWERED_RETENTION_S
        self._answered[key] = stream

    def withdraw(self, key: str) -> None:
        """Record that a stream didn't begin where this entry placed it.

        Its record may have been written already.
        """
        stream = self._streams.get(key)
        if stream is not None:
            withdrawn = _Stream(WITHDRAWN_VERSION, stream.expires_at_s)
            self._streams[key] = self._unrecorded[key] = withdrawn

    def find(self, key: str) -> str | None:
        """Return the version that a stream began on.

        None if there is no record, or if records contradict each other: entries may
        have placed a stream one after the other and not know which placement was used.
        """
        placed, recorded = self._placed_version(key), self._recorded.get(key)
        return None if self.is_contradicted(key) else placed or recorded

    def is_contradicted(self, key: str) -> bool:
        """Whether there is more than one version for a stream."""
        if key not in self._recorded:
            return False
        recorded = self._recorded[key]
        return recorded is None or self._placed_version(key) not in (None, recorded)

    def _placed_version(self, key: str) -> str | None:
        """Return the version on which this entry placed a stream that began there."""
        stream = self._streams.get(key) or self._answered.get(key)
        if stream is None:
            return self._recorded_here.get(key)
        return None if stream.version == WITHDRAWN_VERSION else stream.version

    def apply(self, snapshot: VersionSnapshot) -> None:
        """Apply what the store has."""
        now = self._clock()
        self.served = snapshot.served
        self._earlier_served = snapshot.earlier_served
        self._recorded = snapshot.streams
        self._recorded_here = snapshot.own_streams
        for version in snapshot.earlier_served:
            self._seen_at_s.setdefault(version, now)
        for key in snapshot.row_keys:
            self._row_seen_at_s.setdefault(key, now)

    def versions_to_serve(self, era: int) -> frozenset[str]:
        """Return what the store must have before streams begin on all registered ones.

        Of another era's row it isn't known whether it is complete, nor whether there
        was one before the store was restored from a snapshot.
        """
        versions = self._earlier_served | self.registered
        if self.served is None and (era or self._earlier_served):
            versions |= {LOST_VERSION}
        return versions

    def retired(self) -> frozenset[str]:
        """Return served versions of which no stream can go on any more."""
        now = self._clock()
        return frozenset(
            version
            for version in (self.served or ())
            if version not in self.registered
            and now - self._seen_at_s.setdefault(version, now) > self._lifetime_s
        )

    def take_unrecorded(self, with_answered: bool = False) -> dict[str, str]:
        """Return streams to record, by key, and count them as recorded.

        Those answered meanwhile are dropped unless ``with_answered``: a slow caller may
        not have the end yet.
        """
        taken = dict(list(self._unrecorded.items())[:STREAMS_PER_WRITE_MAX])
        for key in taken:
            del self._unrecorded[key]
        return {
            key: stream.version
            for key, stream in taken.items()
            if stream.expires_at_s > self._clock()
            and (with_answered or not stream.is_answered)
        }

    def is_unrecorded(self, key: str) -> bool:
        """Whether the placement of a stream waits to be recorded."""
        return key in self._unrecorded

    def put_back(self, keys: Iterable[str]) -> None:
        """Count streams as unrecorded again, after a write failed."""
        for key in keys:
            stream = self._streams.get(key) or self._answered.get(key)
            if stream is not None:
                self._unrecorded.setdefault(key, stream)

    def record_rows(self, keys: Iterable[str]) -> None:
        """Record rows that were written to the store."""
        now = self._clock()
        self._row_seen_at_s.update((key, now) for key in keys)

    def expired_rows(self, count: int) -> list[str]:
        """Return up to ``count`` rows whose streams can't be resumed any more."""
        before_s = self._clock() - self._lifetime_s
        expired = [key for key, at_s in self._row_seen_at_s.items() if at_s < before_s]
        return expired[:count]

    def discard_rows(self, keys: Iterable[str]) -> None:
        """Forget rows that were removed from the store."""
        for key in keys:
            self._row_seen_at_s.pop(key, None)

    def discard_expired(self) -> None:
        """Forget streams that can't be resumed any more."""
        for streams in (self._streams, self._answered):
            self._discard_expired_of(streams)

    def _discard_expired_of(self, streams: dict[str, _Stream]) -> None:
        now = self._clock()
        while streams:
            key, stream = next(iter(streams.items()))
            if stream.expires_at_s > now:
                return
            del streams[key]
            self._unrecorded.pop(key, None)

    def handle_new_era(self) -> None:
        """Forget what the store had, and record all streams again."""
        self.served = None
        self._recorded = {}
        self._recorded_here = {}
        self._unrecorded = {**self._answered, **self._streams}
