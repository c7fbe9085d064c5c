"""Logs malformed headers of upstreams."""

from collections.abc import Iterable

from ..event_log import EventLog
from ..events import Event

REMEMBERED_MAX = 1024


class InvalidHeaderLog:
    """Logs each malformed header of an upstream once."""

    def __init__(self, log: EventLog):
        self._log = log
        self._logged: dict[tuple[str, str], None] = {}

    def write(self, upstream_id: str, names: Iterable[str]) -> None:
        """Log the headers ``names`` of an answer unless they have been logged."""
        for name in names:
            if (upstream_id, name) in self._logged:
                continue
            self._logged[upstream_id, name] = None
            self._log.write(
                Event.UPSTREAM_HEADER_INVALID, upstream=upstream_id, name=name
            )
            if len(self._logged) > REMEMBERED_MAX:
                del self._logged[next(iter(self._logged))]
