"""Turns between readers whose peers send faster than the data is processed.

curio switches tasks only where a task waits. A reader that always finds more data would
keep all others waiting, and its own timeouts would never expire.
"""

from dataclasses import dataclass

import curio

TURN_UNITS = 32
# Reading this many bytes counts as much as parsing one event.
UNIT_BYTES = 256


@dataclass
class ReadTurn:
    """Work of one reader since it let other tasks run."""

    _units: int = 0

    def count_event(self, units: int = 1) -> None:
        """Count a parsed event, or one whose handling takes several times as long."""
        self._units += units

    def count_read(self, size: int) -> None:
        """Count bytes that were read."""
        self._units += size // UNIT_BYTES

    async def end_if_long(self) -> None:
        """Let other tasks run if much was counted."""
        if self._units >= TURN_UNITS:
            self._units = 0
            await curio.sleep(0)
