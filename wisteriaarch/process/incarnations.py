"""Which incarnation of an upstream is the present one, and whether it is leaving.

An upstream that leaves may be listed once more by a heartbeat that the store executes
seconds after it was sent. What it said of its incarnation holds until another one is
listed, however often its registration comes and goes.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

# Heartbeats are executed up to 6 s late; a leaving upstream serves for many seconds.
UNLISTED_RETENTION_S = 60.0


class Registration(Protocol):
    """Registration of one incarnation; see ``Upstream``."""

    upstream_id: str
    started_at_ms: int
    is_draining: bool


@dataclass
class _Incarnation:
    started_at_ms: int
    first_listed_at_s: float
    last_listed_at_s: float
    is_leaving: bool = False


class Incarnations:
    """Newest known incarnation of each upstream, also for a while of unlisted ones."""

    def __init__(self):
        self._newest: dict[str, _Incarnation] = {}

    def update(self, listed: Iterable[Registration], now: float) -> None:
        """Apply the complete list of registrations."""
        for item in listed:
            self._observe(item, now)
        self._newest = {
            name: item
            for name, item in self._newest.items()
            if now - item.last_listed_at_s < UNLISTED_RETENTION_S
        }

    def _observe(self, registration: Registration, now: float) -> None:
        name, started_at_ms = registration.upstream_id, registration.started_at_ms
        known = self._newest.get(name)
        if known is None or known.started_at_ms < started_at_ms:
            known = self._newest[name] = _Incarnation(started_at_ms, now, now)
        known.last_listed_at_s = now
        if registration.is_draining and started_at_ms == known.started_at_ms:
            known.is_leaving = True

    def mark_leaving(self, upstream_id: str, sent_at_s: float) -> bool:
        """Record that an upstream says that it leaves; True where that is new.

        ``sent_at_s`` is when the answer's request was sent, or an earlier time. An
        answer to a request from before the newest incarnation was listed is that of a
        former one.
        """
        known = self._newest.get(upstream_id)
        if known is None or known.is_leaving or sent_at_s < known.first_listed_at_s:
            return False
        known.is_leaving = True
        return True

    def is_leaving(self, registration: Registration) -> bool:
        """Whether a registered upstream has said that it leaves.

        A registration of an incarnation before the newest one is out of date.
        """
        known = self._newest.get(registration.upstream_id)
        return (
            known is not None
            and known.is_leaving
            and registration.started_at_ms <= known.started_at_ms
        )
