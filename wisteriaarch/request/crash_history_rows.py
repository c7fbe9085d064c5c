"""What is known of requests and crashes, kept in the store."""

from collections.abc import Callable
from typing import Any

from ..event_log import EventLog
from ..process.store import RowStore
from ..process.store_era import StoreEra
from .crash_history import RETENTION_S, CrashHistory, RequestCrash
from .kept_records import KeptRecords

# About 80 bytes each. A mass loss of upstreams changes the row all the time.
RECORDS_MAX = 96


class CrashHistoryRows(KeptRecords):
    """Crashes of requests; those with most crashes where there are too many."""

    table = "request_crashes"
    write_interval_s = 1.0

    def __init__(
        self,
        crashes: CrashHistory,
        store: RowStore,
        is_writer: Callable[[], bool],
        log: EventLog,
        era: StoreEra | None = None,
    ):
        super().__init__(store, is_writer, log, era)
        self._crashes = crashes

    def version(self) -> int:
        """Return the version of the records."""
        return self._crashes.version()

    def encode(self) -> dict[str, Any]:
        """Return the records; ages are in seconds, as of now."""
        return {
            "crashes": [
                [item.request, item.crash_id, round(item.age_s, 1)]
                for item in self._crashes.export_worst(RECORDS_MAX)
            ]
        }

    def merge(self, value: Any) -> int:
        """Add the records of a row; returns their number.

        The time since the row was written isn't known and not part of the ages.
        """
        records = decode_crashes(value)
        for record in records:
            self._crashes.add(record)
        return len(records)


def decode_crashes(value: Any) -> list[RequestCrash]:
    """Return the records of a row, none if it is malformed."""
    try:
        return [
            RequestCrash(str(request), str(crash_id), float(age_s))
            for request, crash_id, age_s in value["crashes"]
            if 0 <= age_s < RETENTION_S
        ]
    except (KeyError, TypeError, ValueError):
        return []
