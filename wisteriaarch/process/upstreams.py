"""Registered upstreams, with protection against lapsed registrations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from ..event_log import EventLog
from ..events import Event
from ..wire import Address
from .clock import now_s
from .incarnations import Incarnations

REGISTRATION_GRACE_S = 2.5
# A store restored from an older snapshot may list a departed upstream until the
# platform's heartbeat timeout; departures are retained for the maximum age
# of a snapshot.
DEPARTED_EXCLUSION_S = 8.0
DEPARTED_RETENTION_S = 60.0


class Stage(StrEnum):
    """Phase of a completion that an engine is configured for."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream.

    ``started_at_ms`` distinguishes incarnations with the same id (Unix milliseconds).
    ``stage`` is None for upstreams that aren't engines. ``software`` is the version of
    the upstream's software, empty if it states none. A server that ``is_spot`` may be
    reclaimed: it then drains, and ``leaves_ms`` is the notice that it gives. No
    decision uses the notice, since a draining upstream gets no new work.
    """

    upstream_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool = False
    stage: Stage | None = None
    cold_start_left_s: float = 0.0
    started_at_ms: int = 0
    software: str = ""
    is_spot: bool = False
    leaves_ms: float | None = None

    @property
    def incarnation_id(self) -> str:
        """Identify this incarnation: a restarted upstream may keep its id."""
        if not self.started_at_ms:
            return self.upstream_id
        return f"{self.upstream_id}/{self.started_at_ms}"


@dataclass(frozen=True)
class _Departure:
    started_at_ms: int
    observed_at_s: float


class UpstreamRegistry:
    """Upstreams in use.

    Registrations lapse while the store is unavailable and are renewed shortly after it
    recovers. One that is missing then is kept for ``REGISTRATION_GRACE_S`` after the
    recovery. ``on_incarnation_ended`` is called with the id of an upstream that has
    deregistered or restarted.

    A store restored from an older snapshot lists upstreams that have departed. These
    aren't used for ``DEPARTED_EXCLUSION_S`` unless they have started again.
    """

    def __init__(
        self,
        store_recovered_at_s: Callable[[], float | None],
        log: EventLog,
        on_incarnation_ended: Callable[[str], None] = lambda _upstream_id: None,
    ):
        self.on_incarnation_ended = on_incarnation_ended
        self._store_recovered_at_s = store_recovered_at_s
        self._log = log
        self._listed: dict[str, Upstream] = {}
        self._missing: dict[str, Upstream] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        self._first_listed_at_s: float | None = None
        self._incarnations = Incarnations()
        self._departed: dict[str, _Departure] = {}
        self._departed_excluded_until_s = float("-inf")
        self._excludes_departed = False
        self._usable: dict[str, tuple[Upstream, ...]] = {}
        self._software: dict[str, frozenset[str]] = {}

    def update(self, listed: Iterable[Upstream]) -> None:
        """Apply the complete list of registered upstreams."""
        if self._first_listed_at_s is None:
            self._first_listed_at_s = now_s()
        upstreams = {item.upstream_id: item for item in listed}
        deregistered = self._listed.keys() - upstreams.keys()
        self._missing = {
            name: item
            for name, item in self._missing.items()
            if name not in upstreams and self._in_grace_period()
        }
        for name in deregistered:
            self._handle_deregistration(self._listed[name])
        self._incarnations.update(upstreams.values(), now_s())
        for name in upstreams.keys() - self._listed.keys():
            self._log.write(
                Event.UPSTREAM_REGISTERED,
                upstream=name,
                service=upstreams[name].service,
                software=upstreams[name].software,
                leaving=self._incarnations.is_leaving(upstreams[name]),
            )
        for name in upstreams.keys() & self._listed.keys():
            self._handle_restart(self._listed[name], upstreams[name])
        for item in upstreams.values():
            if item.is_draining:
                self._record_departure(item)
        self._listed = upstreams
        self._rebuild_index()

    def exclude_departed(self) -> None:
        """Exclude departed upstreams for a while, even if the store lists them."""
        self._departed_excluded_until_s = now_s() + DEPARTED_EXCLUSION_S
        self._excludes_departed = True
        self._usable.clear()

    def _record_departure(self, upstream: Upstream) -> None:
        """Record that an upstream is draining or has deregistered."""
        now = now_s()
        if now >= self._departed_excluded_until_s:
            self._departed = {
                name: item
                for name, item in self._departed.items()
                if now - item.observed_at_s < DEPARTED_RETENTION_S
            }
        self._departed[upstream.upstream_id] = _Departure(upstream.started_at_ms, now)

    def _is_excluded(self, upstream: Upstream) -> bool:
        departure = self._departed.get(upstream.upstream_id)
        return (
            departure is not None
            and departure.started_at_ms == upstream.started_at_ms
            and now_s() < self._departed_excluded_until_s
        )

    def _handle_deregistration(self, upstream: Upstream) -> None:
        in_grace = self._in_grace_period() and not upstream.is_draining
        if in_grace:
            self._missing[upstream.upstream_id] = upstream
        else:
            self._record_departure(upstream)
            self.on_incarnation_ended(upstream.upstream_id)
        self._log.write(
            Event.UPSTREAM_DEREGISTERED, upstream=upstream.upstream_id, kept=in_grace
        )

    def _handle_restart(self, known: Upstream, new: Upstream) -> None:
        if known.started_at_ms == new.started_at_ms:
            return
        self.on_incarnation_ended(new.upstream_id)
        self._log.write(Event.ENGINE_RESTARTED, upstream=new.upstream_id)

    def _in_grace_period(self) -> bool:
        recovered_at_s = self._store_recovered_at_s()
        return (
            recovered_at_s is not None
            and now_s() - recovered_at_s < REGISTRATION_GRACE_S
        )

    def record_draining(self, upstream_id: str, sent_at_s: float) -> bool:
        """Record that an upstream answers that it is draining; True where that is new.

        This applies to its incarnation, whatever its registration states, and also if
        it isn't registered any more. ``sent_at_s`` is when the answer's request was
        sent, or an earlier time.
        """
        is_new = self._incarnations.mark_leaving(upstream_id, sent_at_s)
        if is_new:
            self._usable.clear()
        return is_new

    def may_be_incomplete(self) -> bool:
        """Whether registrations may be missing: after a start or a store recovery."""
        started_at_s = self._first_listed_at_s
        is_new = started_at_s is None or now_s() - started_at_s < REGISTRATION_GRACE_S
        return is_new or self._in_grace_period()

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[Upstream]] = {}
        for item in (*self._listed.values(), *self._missing.values()):
            by_service.setdefault(item.service, []).append(item)
        self._by_service = {name: tuple(items) for name, items in by_service.items()}
        self._software = {
            name: frozenset(item.software for item in items)
            for name, items in by_service.items()
        }
        self._usable.clear()

    def usable(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that accept new work."""
        if self._missing and not self._in_grace_period():
            self._missing = {}
            self._rebuild_index()
        if self._excludes_departed and now_s() >= self._departed_excluded_until_s:
            self._excludes_departed = False
            self._usable.clear()
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = tuple(
                item
                for item in self._by_service.get(service, ())
                if self.get_usable(item.upstream_id) is item
            )
        return usable

    def software_of(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's registered upstreams."""
        return self._software.get(service, frozenset())

    def get_usable(self, upstream_id: str) -> Upstream | None:
        """Return an upstream if it accepts new work, else None."""
        upstream = self.get(upstream_id)
        if upstream is None or self._incarnations.is_leaving(upstream):
            return None
        return None if self._is_excluded(upstream) else upstream

    def get(self, upstream_id: str) -> Upstream | None:
        """Return a listed upstream, or a missing one in its grace period."""
        return self._listed.get(upstream_id) or self._missing.get(upstream_id)

    def addresses(self) -> list[Address]:
        """Return the addresses of the listed upstreams."""
        return [item.address for item in self._listed.values()]

    def listed(self) -> tuple[Upstream, ...]:
        """Return the listed upstreams, without missing ones in their grace period."""
        return tuple(self._listed.values())
