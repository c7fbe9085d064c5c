"""Removes expired claims from the table in small batches.

Any entry may process the next batch. One conditional transaction advances the cursor
and removes the expired rows of the batch, so each batch is applied once or not at all.
"""

import random
from dataclasses import replace

import curio

from ..errors import PlatformError
from ..events import Event, EventLog
from ..process.fleet import Fleet
from ..process.store import ObjectStore, Put, Row, TableStore, Transaction
from .claim_epochs import ClaimEpochs, SweepState
from .claims import CLAIMS_TABLE, Claim, result_name

ROWS_PER_TURN = 32


class ClaimSweep:
    """Sweeps batches in turn with the other entries; ``run`` must be running."""

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        epochs: ClaimEpochs,
        fleet: Fleet,
        every_s: float,
        log: EventLog,
    ):
        self._table = table
        self._objects = objects
        self._epochs = epochs
        self._fleet = fleet
        self._every_s = every_s
        self._log = log

    async def run(self) -> None:
        """Sweep forever, about one batch per ``interval_s`` across all entries."""
        while True:
            entries = max(1, len(self._fleet.of_kind("entry")))
            await curio.sleep(entries * self._every_s * random.uniform(0.5, 1.5))
            try:
                await self._take_turn()
            except PlatformError:
                continue

    async def _take_turn(self) -> None:
        state = await self._epochs.refresh()
        epoch = state.epoch + self._epochs.is_over()
        rows = await self._table.scan(
            CLAIMS_TABLE, after=state.after, limit=ROWS_PER_TURN
        )
        after = rows[-1].key if len(rows) == ROWS_PER_TURN else ""
        old = [row for row in rows if state.is_old(Claim.from_row(row).epoch)]
        next_state = replace(state, epoch=epoch, after=after)
        if not old and next_state == state:
            return
        await self._remove_objects(old)
        await self._write(next_state, old)
        if old or epoch != state.epoch:
            self._log.write(Event.CLAIMS_SWEPT, removed=len(old), epoch=epoch)

    async def _remove_objects(self, old: list[Row]) -> None:
        """Delete stored answers, including those that no row refers to.

        An entry that stops after the upload and before the write leaves such an object.
        """
        for row in old:
            claim = Claim.from_row(row)
            if claim.may_have_object:
                await self._objects.delete(result_name(claim.claim_id))

    async def _write(self, state: SweepState, old: list[Row]) -> None:
        removals = [Put(row.table, row.key, None, row.version) for row in old]
        await self._table.write(Transaction((state.as_put(), *removals)))
