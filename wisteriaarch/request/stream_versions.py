"""Keeps every stream on the software version that began it.

What upstreams of different software versions write doesn't fit together, and upstreams
don't check which version began a stream that they are to resume. The entry that places
a stream remembers its version. While a service has more than one version, streams are
also recorded in the store, which outlives all entries; while it has one, a row with
that version stands for all streams.
"""

import contextlib
from collections.abc import Callable, Iterable

import curio

from ..errors import ErrorKind, PlatformError, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.fleet_estimates import FleetEstimates
from ..process.upstreams import Stage
from ..process.version_records import VersionRecords, stream_key
from ..version.route_table import CallKind
from .attempt_outcome import ANSWERED, AttemptOutcome
from .routed_call import RoutedCall
from .service_recorder import ServiceRecorder

# For this time, streams begin on confirmed versions alone while this entry can't have
# another one confirmed. An entry that is cut off from the store sees a release go on.
UNCONFIRMED_MAX_S = 10.0
RESUME_RETRY_AFTER_S = 0.5
FOLLOW_EVERY_S = 0.05
# Other entries wait 0.1 s for a placement, this included.
COMPARISON_WAIT_S = 0.05


class StreamVersions:
    """Implements ``StreamSoftware`` for the calls that one entry places.

    ``list_services`` returns the services that have resumable streams, ``is_scheduler``
    whether this entry schedules a service.
    """

    def __init__(
        self,
        estimates: FleetEstimates,
        records: VersionRecords,
        list_services: Callable[[], Iterable[str]],
        is_scheduler: Callable[[str], bool],
        log: EventLog,
    ):
        self._registry = estimates.registry
        self._loads = estimates.loads
        self._records = records
        self._list_services = list_services
        self._is_scheduler = is_scheduler
        self._log = log
        self._services: dict[str, ServiceRecorder] = {}

    async def run(self) -> None:
        """Keep the store's rows up to date, forever."""
        tasks: dict[str, curio.Task] = {}
        try:
            while True:
                for service in filter(self._is_scheduler, self._list_services()):
                    self._of(service)
                for service in self._services.keys() - tasks.keys():
                    tasks[service] = await curio.spawn(self._services[service].run)
                for task in tasks.values():
                    if task.terminated:
                        await task.join()
                await curio.sleep(FOLLOW_EVERY_S)
        finally:
            for task in tasks.values():
                await task.cancel()

    def handle_new_era(self) -> None:
        """Handle a store that was restored from an older snapshot."""
        for tracked in self._services.values():
            tracked.versions.handle_new_era()

    def _of(self, service: str) -> ServiceRecorder:
        tracked = self._services.get(service)
        if tracked is None:
            tracked = self._services[service] = ServiceRecorder(
                service, self._registry, self._records, self._is_scheduler, self._log
            )
        return tracked

    async def admit(self, call: RoutedCall) -> None:
        """Set the versions that a call may be placed on; raises RequestError.

        A resumed stream is restricted to the version that began it. A new one may begin
        on confirmed versions, and a retry stays on the version of the attempt before
        while that one responds.
        """
        if not _is_resumable(call):
            return
        tracked = self._of(call.service)
        tracked.observe_registered()
        if call.software is None and call.resume_after is not None:
            call.software = await self._find_software(call, tracked)
        if call.software is not None:
            self._check_served(call, tracked)
            return
        if tracked.versions.unconfirmed:
            confirmed = tracked.versions.served or frozenset()
            await tracked.request_confirmation(
                is_urgent=not self._responding(call.service, confirmed)
            )
        call.usable_software = self._usable_software(call, tracked)

    async def find_placed(self, call: RoutedCall) -> str | None:
        """Return the version of a resumed stream that this entry placed itself."""
        tracked = self._services.get(call.service)
        return tracked and await self._find_known(call, tracked)

    async def _find_known(
        self, call: RoutedCall, tracked: ServiceRecorder
    ) -> str | None:
        """Return the version of a resumed stream if this entry knows it.

        While there are several versions, the stream may have been placed by another
        entry, too, so records of others are read if the store answers soon.
        """
        key = stream_key(call.resumes)
        versions = tracked.versions
        software = versions.find(key)
        if software is None or not versions.is_mixed or tracked.has_failed:
            return software
        with contextlib.suppress(PlatformError):
            async with curio.ignore_after(COMPARISON_WAIT_S):
                await tracked.reload()
        return versions.find(key)

    async def _find_software(self, call: RoutedCall, tracked: ServiceRecorder) -> str:
        """Return the version that began a resumed stream; raises RequestError.

        A stream that this entry doesn't know isn't assumed to be of the only version
        that it knows: other entries may have begun streams on one that it hasn't heard
        of. Only the store can tell.
        """
        software = await self._find_known(call, tracked)
        if software is not None:
            return software
        key = stream_key(call.resumes)
        versions = tracked.versions
        try:
            await tracked.reload()
        except PlatformError as exc:
            detail = "the store doesn't say on which software version it began"
            raise self._not_resumable(call, detail, RESUME_RETRY_AFTER_S) from exc
        software = versions.find(key)
        if software is None and not versions.is_contradicted(key):
            software = versions.only_version
        if software is None:
            raise self._not_resumable(call, "its software version isn't known", None)
        return software

    def _check_served(self, call: RoutedCall, tracked: ServiceRecorder) -> None:
        """Raise RequestError if no upstream of the stream's version is left.

        After a start, no upstream may be known yet.
        """
        usable = self._registry.usable(call.service)
        if any(item.software == call.software for item in usable):
            return
        if not usable and self._registry.may_be_incomplete():
            return
        may_return = tracked.versions.was_seen_recently(call.software)
        raise self._not_resumable(
            call,
            "no upstream of its software version is left",
            RESUME_RETRY_AFTER_S if may_return else None,
        )

    def _not_resumable(
        self, call: RoutedCall, detail: str, retry_after_s: float | None
    ) -> RequestError:
        self._log.write(
            Event.STREAM_NOT_RESUMED,
            request=call.call_id,
            resumes=call.resumes or call.call_id,
            software=call.software,
            versions=sorted(self._of(call.service).versions.served or ()),
            detail=detail,
        )
        return RequestError(
            ErrorKind.STREAM_NOT_RESUMABLE,
            f"the stream can't go on: {detail}",
            ran=call.ran,
            retry_after_s=retry_after_s,
        )

    def _usable_software(
        self, call: RoutedCall, tracked: ServiceRecorder
    ) -> frozenset[str] | None:
        """Return the versions that a stream may begin on; None for all."""
        preferred = frozenset({call.preferred_software} - {None})
        if preferred and self._responding(call.service, preferred):
            return preferred
        versions = tracked.versions
        if not versions.unconfirmed:
            return None
        confirmed = versions.registered & (versions.served or frozenset())
        is_overdue = now_s() - tracked.unconfirmed_since_s > UNCONFIRMED_MAX_S
        if is_overdue or not self._responding(call.service, confirmed):
            return None
        return confirmed

    def _responding(self, service: str, versions: frozenset[str]) -> bool:
        """Whether an upstream of the versions runs calls and responds."""
        return any(
            item.software in versions
            and item.stage is not Stage.PREFILL
            and not self._loads.is_suspended(item.upstream_id)
            for item in self._registry.usable(service)
        )

    def record(self, call: RoutedCall, software: str) -> None:
        """Record that a call was placed on a version."""
        if not _is_resumable(call) or call.resume_after is not None:
            return
        versions = self._of(call.service).versions
        versions.add(stream_key(call.call_id), software, call.remaining_s())

    async def wait_until_recorded(self, call: RoutedCall) -> None:
        """Wait until the store has a stream's placement; raises RequestError.

        Another entry may have placed the stream on another version and not hear that
        this wasn't used.
        """
        is_new = call.resume_after is None and call.software is None
        tracked = self._of(call.service)
        if not (is_new and _is_resumable(call) and tracked.versions.is_mixed):
            return
        try:
            await tracked.wait_until_recorded(stream_key(call.call_id))
        except PlatformError as exc:
            raise RequestError(
                ErrorKind.UPSTREAM_OVERLOADED,
                "the stream's software version can't be recorded",
                ran=call.ran,
                retry_after_s=RESUME_RETRY_AFTER_S,
            ) from exc

    def observe_outcome(self, call: RoutedCall, outcome: AttemptOutcome) -> None:
        """Observe the outcome of an attempt that this entry placed."""
        tracked = self._services.get(call.service)
        if tracked is None:
            return
        if outcome.cause == ANSWERED:
            tracked.versions.end(stream_key(call.call_id))
        elif outcome.has_not_begun:
            self.withdraw(call)

    def withdraw(self, call: RoutedCall) -> None:
        """Record that a call didn't begin where this entry placed it."""
        tracked = self._services.get(call.service)
        if tracked is not None and call.software is None:
            tracked.versions.withdraw(stream_key(call.call_id))


def _is_resumable(call: RoutedCall) -> bool:
    return call.route.kind is CallKind.STREAM and call.route.resumable
