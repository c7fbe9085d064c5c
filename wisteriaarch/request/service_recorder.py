"""Keeps the store's rows on the streams of one service up to date."""

import contextlib
from collections.abc import AsyncIterator, Callable

import curio

from ..errors import PlatformError, StoreUnavailable, WriteConflict
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.upstreams import UpstreamRegistry
from ..process.version_records import VersionRecords, VersionSnapshot
from .service_versions import ServiceVersions

# Streams placed since the last write are unknown after the loss of all entries.
RECORD_EVERY_S = 0.02
CHECK_EVERY_S = 0.1
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
CONFIRMATION_WAIT_S = 0.25
REMOVED_ROWS_MAX = 50


class ServiceRecorder:
    """Reads and writes the rows of one service.

    ``has_failed`` is set while the store can't be reached. Some version has been
    unconfirmed since ``unconfirmed_since_s``, if one is now.
    """

    def __init__(
        self,
        service: str,
        registry: UpstreamRegistry,
        records: VersionRecords,
        is_scheduler: Callable[[str], bool],
        log: EventLog,
    ):
        self.versions = ServiceVersions()
        self.has_failed = False
        self.unconfirmed_since_s = now_s()
        self._service = service
        self._registry = registry
        self._records = records
        self._is_scheduler = is_scheduler
        self._log = log
        self._wake = curio.Event()
        self._confirmed = curio.Event()
        self._written = curio.Event()
        self._writes_begun = 0
        self._writes_ended = 0
        self._lock = curio.Lock()
        self._read_started_at_s = float("-inf")
        self.observe_registered()

    def observe_registered(self) -> None:
        """Observe the versions of the registered upstreams."""
        self.versions.observe_registered(self._registry.software_of(self._service))

    async def request_confirmation(self, is_urgent: bool) -> None:
        """Have the registered versions confirmed soon.

        Waits for it if that ``is_urgent``, unless the store is away.
        """
        await self._wake.set()
        if is_urgent and not self.has_failed:
            async with curio.ignore_after(CONFIRMATION_WAIT_S):
                await self._confirmed.wait()

    async def wait_until_recorded(self, key: str) -> None:
        """Wait until the placement of a stream is recorded.

        Raises StoreUnavailable if that takes longer than ``CONFIRMATION_WAIT_S``.
        """
        number = self._writes_begun + self.versions.is_unrecorded(key)
        async with curio.ignore_after(CONFIRMATION_WAIT_S):
            while self._writes_ended < number and not self.has_failed:
                self._written.clear()
                await self._written.wait()
        if self._writes_ended < number:
            raise StoreUnavailable("the placement isn't recorded")

    @contextlib.asynccontextmanager
    async def _writing(self, streams: dict[str, str]) -> AsyncIterator[None]:
        """Count a write of streams just taken; put them back if it fails."""
        self._writes_begun += 1
        number = self._writes_begun
        try:
            yield
        except PlatformError:
            self.versions.put_back(streams)
            raise
        self._writes_ended = number
        await self._written.set()

    async def reload(self) -> None:
        """Read the rows, unless a read has begun since this call.

        Raises PlatformError.
        """
        asked_at_s = now_s()
        async with self._lock:
            if self._read_started_at_s <= asked_at_s:
                await self._read()

    async def run(self) -> None:
        """Keep the rows up to date, forever."""
        delay_s = RETRY_MIN_S
        while True:
            is_mixed = self.versions.is_mixed
            async with curio.ignore_after(
                RECORD_EVERY_S if is_mixed else CHECK_EVERY_S
            ):
                await self._wake.wait()
            self._wake.clear()
            try:
                await self.update()
            except WriteConflict:
                continue
            except PlatformError as exc:
                self._note_failure(exc)
                await curio.sleep(delay_s)
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
                continue
            self.has_failed = False
            delay_s = RETRY_MIN_S

    def _note_failure(self, exc: PlatformError) -> None:
        if not self.has_failed:
            self._log.write(
                Event.STREAM_VERSIONS_UNRECORDED,
                service=self._service,
                error=str(exc),
            )
        self.has_failed = True

    async def update(self) -> None:
        """Write what the store lacks; raises PlatformError."""
        self.observe_registered()
        self.versions.discard_expired()
        if self.versions.unconfirmed:
            self._confirmed.clear()
            await self._confirm()
        elif self._is_scheduler(self._service) and self.versions.retired():
            await self._retire()
        self.unconfirmed_since_s = now_s()
        await self._confirmed.set()
        await self._write_streams()

    async def _confirm(self) -> None:
        """Have the store name all registered versions, and the streams before them."""
        async with self._lock:
            snapshot = await self._read()
            served = self.versions.versions_to_serve(snapshot.era)
            if served != snapshot.served:
                await self._write_served(snapshot, served)

    async def _retire(self) -> None:
        """Remove versions that no stream can go on at any more."""
        async with self._lock:
            snapshot = await self._read()
            served = snapshot.served or frozenset()
            kept = served - self.versions.retired()
            if kept and kept != served:
                await self._write_served(snapshot, kept)

    async def _read(self) -> VersionSnapshot:
        started_at_s = now_s()
        snapshot = await self._records.load(self._service)
        self._read_started_at_s = started_at_s
        self.versions.apply(snapshot)
        return snapshot

    async def _write_served(
        self, snapshot: VersionSnapshot, served: frozenset[str]
    ) -> None:
        """Write the served versions; those of ``snapshot`` hold until it succeeds."""
        streams = self.versions.take_unrecorded(with_answered=True)
        async with self._writing(streams):
            keys = await self._records.write_served(
                self._service, snapshot, served, streams
            )
        self.versions.served = served
        self.versions.record_rows(keys)
        self._log.write(
            Event.STREAM_VERSIONS_CHANGED,
            service=self._service,
            versions=sorted(served),
            streams=len(streams),
        )

    async def _write_streams(self) -> None:
        """Record new streams where there are several versions; remove expired rows."""
        versions = self.versions
        streams = versions.take_unrecorded() if versions.is_mixed else {}
        expired = versions.expired_rows(REMOVED_ROWS_MAX)
        is_scheduler = self._is_scheduler(self._service)
        if not streams and not (expired and is_scheduler):
            return
        async with self._writing(streams):
            keys = await self._records.write_streams(self._service, streams, expired)
        versions.discard_rows(expired)
        versions.record_rows(keys)
