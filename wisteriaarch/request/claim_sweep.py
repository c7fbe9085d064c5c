"""Removes expired claims from the table in small batches.

Any entry may process the next batch. One conditional transaction advances the cursor
and removes the expired rows of the batch, so each batch is applied once or not at all.
"""

import random
from dataclasses import replace

import curio

from ..errors import PlatformError
from ..event_log import EventLog
from ..events import Event
from ..process.fleet import Fleet
from ..process.store import ObjectStore, Put, Row, TableStore, Transaction
from .claim_epochs import ClaimEpochs, SweepState
from .claims import CLAIMS_TABLE, Claim, answer_object_name

ROWS_PER_BATCH = 32


class ClaimSweep:
    """Sweeps batches in turn with the other entries; ``run`` must be running."""

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        epochs: ClaimEpochs,
        fleet: Fleet,
        interval_s: float,
        log: EventLog,
    ):
        self._table = table
        self._objects = objects
        self._epochs = epochs
        self._fleet = fleet
        self._interval_s = interval_s
        self._log = log

    async def run(self) -> None:
        """Sweep forever, about one batch per ``interval_s`` across all entries."""
        while True:
            entries = max(1, len(self._fleet.of_kind("entry")))
            await curio.sleep(entries * self._interval_s * random.uniform(0.5, 1.5))
            try:
                await self._sweep_batch()
            except PlatformError:
                continue

    async def _sweep_batch(self) -> None:
        state = await self._epochs.refresh()
        epoch = state.epoch + self._epochs.is_epoch_over()
        rows = await self._table.scan(
            CLAIMS_TABLE, after=state.cursor, limit=ROWS_PER_BATCH
        )
        cursor = rows[-1].key if len(rows) == ROWS_PER_BATCH else ""
        expired = [row for row in rows if state.is_expired(Claim.from_row(row).epoch)]
        next_state = replace(state, epoch=epoch, cursor=cursor)
        if not expired and next_state == state:
            return
        await self._delete_answers(expired)
        await self._write(next_state, expired)
        if expired or epoch != state.epoch:
            self._log.write(Event.CLAIMS_EXPIRED, removed=len(expired), epoch=epoch)

    async def _delete_answers(self, expired: list[Row]) -> None:
        """Delete stored answers, including those that no row refers to.

        An entry that stops after the upload and before the write leaves such an object.
        """
        for row in expired:
            claim = Claim.from_row(row)
            if claim.may_have_stored_body:
                await self._objects.delete(answer_object_name(claim.claim_id))

    async def _write(self, state: SweepState, expired: list[Row]) -> None:
        removals = [Put(row.table, row.key, None, row.version) for row in expired]
        await self._table.write(Transaction((state.to_put(), *removals)))
