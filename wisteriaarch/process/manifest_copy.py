"""What is in force at an entry, as it passes it on to a peer."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class ManifestCopy:
    """What is in force as one entry passes it on to another.

    For a manifest, ``head`` is the value of the head row as JSON and ``body`` the
    manifest's canonical bytes; ``row_version`` is the version of the row.
    """

    head: bytes
    body: bytes
    row_version: int


class CopySource(Protocol):
    """Part of an entry that knows what is in force, and can take it from a peer."""

    generation: int
    accepted_generation: int

    def has_contact(self) -> bool:
        """Whether the store was reached not long ago."""

    async def learn(self, generation: int) -> None:
        """Take in that a peer knows of a generation."""

    def copy(self) -> ManifestCopy | None:
        """Return what is in force, for a peer that can't reach the store."""

    async def install_copy(self, copy: ManifestCopy) -> None:
        """Put a peer's copy in force where it is newer; raises ConfigError."""
