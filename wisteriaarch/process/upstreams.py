"""Upstreams as they registered themselves, with a guard against lapsed entries."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from ..events import Event, EventLog
from ..wire import Address
from .clock import now_s

RETURN_GRACE_S = 2.5
# An older copy of the store may list an upstream that has left for as long as the
# platform waits for its heartbeats; a departure is remembered for the copy's age.
DEPARTED_HELD_S = 8.0
DEPARTED_KEPT_S = 60.0


class Stage(StrEnum):
    """Part of a completion that an engine is set to run."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream.

    ``started_at_ms`` tells incarnations with the same id apart (Unix milliseconds).
    ``stage`` is None for upstreams that aren't engines.
    """

    upstream_id: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool = False
    stage: Stage | None = None
    cold_left_s: float = 0.0
    started_at_ms: int = 0


@dataclass(frozen=True)
class _Departure:
    started_at_ms: int
    at_s: float


class UpstreamRegistry:
    """Upstreams in use.

    Registrations lapse while the store is away and return shortly after it. One that is
    missing then is kept until ``RETURN_GRACE_S`` after the store's return.
    ``on_lost`` is called with the id of an upstream that is gone or has restarted.

    A store that comes back from an older copy lists upstreams that have left. These
    aren't used for ``DEPARTED_HELD_S`` unless they have started again.
    """

    def __init__(
        self,
        regained_at_s: Callable[[], float | None],
        log: EventLog,
        on_lost: Callable[[str], None] = lambda _upstream_id: None,
    ):
        self.on_lost = on_lost
        self._regained_at_s = regained_at_s
        self._log = log
        self._listed: dict[str, Upstream] = {}
        self._missing: dict[str, Upstream] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        self._first_listed_at_s: float | None = None
        self._said_leaving: dict[str, int] = {}
        self._departed: dict[str, _Departure] = {}
        self._held_away_until_s = float("-inf")
        self._holds_away = False
        self._usable: dict[str, tuple[Upstream, ...]] = {}

    def update(self, listed: Iterable[Upstream]) -> None:
        """Take in all upstreams that are registered now."""
        if self._first_listed_at_s is None:
            self._first_listed_at_s = now_s()
        upstreams = {item.upstream_id: item for item in listed}
        gone = self._listed.keys() - upstreams.keys()
        self._missing = {
            name: item
            for name, item in self._missing.items()
            if name not in upstreams and self._in_grace()
        }
        for name in gone:
            self._note_gone(self._listed[name])
        self._said_leaving = {
            name: started_at_ms
            for name, started_at_ms in self._said_leaving.items()
            if name in upstreams or name in self._missing
        }
        for name in upstreams.keys() - self._listed.keys():
            self._log.write(
                Event.UPSTREAM_LISTED, upstream=name, service=upstreams[name].service
            )
        for name in upstreams.keys() & self._listed.keys():
            self._note_restart(self._listed[name], upstreams[name])
        for item in upstreams.values():
            if item.leaving:
                self._note_departed(item)
        self._listed = upstreams
        self._index()

    def hold_departed(self) -> None:
        """Leave upstreams away that have left, though the store may list them again."""
        self._held_away_until_s = now_s() + DEPARTED_HELD_S
        self._holds_away = True
        self._usable.clear()

    def _note_departed(self, upstream: Upstream) -> None:
        """Remember that an upstream leaves or has left."""
        now = now_s()
        if now >= self._held_away_until_s:
            self._departed = {
                name: item
                for name, item in self._departed.items()
                if now - item.at_s < DEPARTED_KEPT_S
            }
        self._departed[upstream.upstream_id] = _Departure(upstream.started_at_ms, now)

    def _is_held_away(self, upstream: Upstream) -> bool:
        departure = self._departed.get(upstream.upstream_id)
        return (
            departure is not None
            and departure.started_at_ms == upstream.started_at_ms
            and now_s() < self._held_away_until_s
        )

    def _note_gone(self, upstream: Upstream) -> None:
        held = self._in_grace() and not upstream.leaving
        if held:
            self._missing[upstream.upstream_id] = upstream
        else:
            self._note_departed(upstream)
            self.on_lost(upstream.upstream_id)
        self._log.write(Event.UPSTREAM_GONE, upstream=upstream.upstream_id, kept=held)

    def _note_restart(self, known: Upstream, new: Upstream) -> None:
        if known.started_at_ms == new.started_at_ms:
            return
        self.on_lost(new.upstream_id)
        self._log.write(Event.ENGINE_RESTARTED, upstream=new.upstream_id)

    def _in_grace(self) -> bool:
        regained_at_s = self._regained_at_s()
        return regained_at_s is not None and now_s() - regained_at_s < RETURN_GRACE_S

    def note_leaving(self, upstream_id: str) -> bool:
        """Take in an upstream's own word that it leaves; True where that is new.

        It holds for its incarnation, whatever the registration says.
        """
        upstream = self.get(upstream_id)
        if upstream is None or self._has_said_leaving(upstream):
            return False
        self._said_leaving[upstream_id] = upstream.started_at_ms
        self._usable.clear()
        return True

    def _has_said_leaving(self, upstream: Upstream) -> bool:
        return self._said_leaving.get(upstream.upstream_id) == upstream.started_at_ms

    def is_settling(self) -> bool:
        """Whether registrations may be about to come: just started, or store back."""
        started_at_s = self._first_listed_at_s
        is_new = started_at_s is None or now_s() - started_at_s < RETURN_GRACE_S
        return is_new or self._in_grace()

    def _index(self) -> None:
        by_service: dict[str, list[Upstream]] = {}
        for item in (*self._listed.values(), *self._missing.values()):
            by_service.setdefault(item.service, []).append(item)
        self._by_service = {name: tuple(items) for name, items in by_service.items()}
        self._usable.clear()

    def usable(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that take new work."""
        if self._missing and not self._in_grace():
            self._missing = {}
            self._index()
        if self._holds_away and now_s() >= self._held_away_until_s:
            self._holds_away = False
            self._usable.clear()
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = tuple(
                item
                for item in self._by_service.get(service, ())
                if self.usable_one(item.upstream_id) is item
            )
        return usable

    def usable_one(self, upstream_id: str) -> Upstream | None:
        """Return an upstream that takes new work."""
        upstream = self.get(upstream_id)
        if upstream is None or upstream.leaving or self._has_said_leaving(upstream):
            return None
        return None if self._is_held_away(upstream) else upstream

    def get(self, upstream_id: str) -> Upstream | None:
        """Return a known upstream."""
        return self._listed.get(upstream_id) or self._missing.get(upstream_id)

    def all(self) -> tuple[Upstream, ...]:
        """Return all known upstreams."""
        return tuple(self._listed.values())
