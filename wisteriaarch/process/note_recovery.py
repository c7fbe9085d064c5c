"""Note of a duty's record after the store was restored from an older copy.

The copy may lack the records of calls that were executed, and a later holder that went
by an older note would call again for what has been called for. A holder whose term
lasted until the restoration was the only one to call, and goes on with what it knows;
any other one must count on calls that it doesn't know.
"""

from collections.abc import Callable
from typing import Any

from .duty_record import DutyRecord
from .lease import Lease
from .store_era import StoreEra

# No call may be missing in the record.
NOTHING_UNKNOWN = float("-inf")


def keep_note(note: Any, _unknown_until_s: float) -> Any:
    """Return the note as it is: for a duty whose note doesn't depend on calls."""
    return note


class NoteRecovery:
    """Decides with which note a duty goes on in a new era of the store.

    ``note_of`` returns the note that this entry wrote or read last in the lease term
    of an epoch, None if it hasn't read the record in that term. ``complete`` gets a
    note and the time until which calls may have been sent that the note lacks, on this
    process's clock; it returns the note to go on with.
    """

    def __init__(
        self, lease: Lease, era: StoreEra, note_of: Callable[[int], Any | None]
    ):
        self._lease = lease
        self._note_of = note_of
        self._note_of_only_caller: Any | None = None
        self.complete: Callable[[Any, float], Any] = keep_note
        era.subscribe(self._on_era_change)

    def _on_era_change(self) -> None:
        epoch = self._lease.unexpired_epoch()
        self._note_of_only_caller = None if epoch is None else self._note_of(epoch)

    def note_after(self, record: DutyRecord, last_sent_s: float) -> Any:
        """Return the note that replaces that of a record of an earlier era.

        ``last_sent_s`` is when a former holder sent its last call at the latest.
        """
        note, self._note_of_only_caller = self._note_of_only_caller, None
        if note is not None:
            return self.complete(note, NOTHING_UNKNOWN)
        return self.complete(record.note, last_sent_s)
