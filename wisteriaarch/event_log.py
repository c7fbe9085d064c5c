"""Writes the log events of an entry."""

import contextlib
from collections.abc import Iterator
from typing import Any

import logbook

from .events import Event


class EventLog:
    """Writes each event as one log line with the entry's id."""

    def __init__(self, entry_id: str):
        self._logger = logbook.Logger(entry_id)

    def write(self, event: Event, **fields: Any) -> None:
        """Log ``event`` with ``fields``."""
        kind = event.value
        self._logger.log(
            kind.level, kind.message, extra={"kind": kind, "fields": fields}
        )

    @contextlib.contextmanager
    def record_failure(self) -> Iterator[None]:
        """Log an exception that ends the entry, and let it through."""
        try:
            yield
        except Exception as exc:
            self.write(Event.ENTRY_FAILED, error=repr(exc))
            raise
