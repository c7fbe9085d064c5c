"""Capacity reserved for callers that were asked to retry at a given time."""

import math
from dataclasses import dataclass

from ..process.clock import now_s

EXPIRY_S = 2.0
EARLY_TOLERANCE_S = 0.25
WAIT_MAX_S = 10.0
RESERVATIONS_MAX = 4096
RESERVED_SHARE = 0.15
RATE_DECAY_S = 3.0
ADMITTED_RATE_MIN = 1.0


@dataclass(frozen=True)
class RetryReservation:
    """Time at which a refused request is to be retried, and its work."""

    due_at_s: float
    work_s: float


class RetryReservations:
    """Reservations by request fingerprint; an unused one expires.

    New calls continue to arrive while callers wait, so the retry times are spread: the
    reserved work takes at most a fixed share of the work that is admitted.
    """

    def __init__(self):
        self._reservations: dict[str, RetryReservation] = {}
        self._admitted_work_s = 0.0
        self._started_at_s = self._decayed_at_s = now_s()

    def record_admission(self, work_s: float) -> None:
        """Record admitted work; its rate determines how retry times are spread."""
        self._decay()
        self._admitted_work_s += work_s

    def reserve(self, fingerprint: str, earliest_s: float, work_s: float) -> float:
        """Reserve capacity after ``earliest_s`` seconds; return the seconds to wait."""
        self._drop_expired()
        wait_s = earliest_s + self._spread_s(work_s)
        wait_s = min(wait_s, max(earliest_s, WAIT_MAX_S))
        if len(self._reservations) < RESERVATIONS_MAX:
            self._reservations[fingerprint] = RetryReservation(now_s() + wait_s, work_s)
        return wait_s

    def consume(self, fingerprint: str) -> bool:
        """Use the reservation of a retried request; False if it has no valid one."""
        reservation = self._reservations.get(fingerprint)
        if reservation is None or now_s() < reservation.due_at_s - EARLY_TOLERANCE_S:
            return False
        del self._reservations[fingerprint]
        return now_s() <= reservation.due_at_s + EXPIRY_S

    def reserved_work_s(self, within_s: float) -> float:
        """Return the work reserved for callers that retry within ``within_s``."""
        latest_s = now_s() + within_s
        return sum(
            reservation.work_s
            for reservation in self._reservations.values()
            if reservation.due_at_s <= latest_s
        )

    def _spread_s(self, work_s: float) -> float:
        """Return how long reserved work and ``work_s`` take at the reserved share."""
        reserved_s = sum(
            reservation.work_s for reservation in self._reservations.values()
        )
        rate = max(ADMITTED_RATE_MIN, self._admitted_rate())
        return (reserved_s + work_s) / (RESERVED_SHARE * rate)

    def _admitted_rate(self) -> float:
        """Return the rate of admitted work, in engine seconds a second."""
        self._decay()
        observed_s = self._decayed_at_s - self._started_at_s
        window_s = RATE_DECAY_S * (1 - math.exp(-observed_s / RATE_DECAY_S))
        return self._admitted_work_s / max(window_s, 1e-3)

    def _decay(self) -> None:
        now = now_s()
        self._admitted_work_s *= math.exp((self._decayed_at_s - now) / RATE_DECAY_S)
        self._decayed_at_s = now

    def _drop_expired(self) -> None:
        oldest_s = now_s() - EXPIRY_S
        self._reservations = {
            key: reservation
            for key, reservation in self._reservations.items()
            if reservation.due_at_s >= oldest_s
        }
