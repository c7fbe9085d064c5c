"""Manifest in force at an entry, in the form sent to a peer."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class ManifestCopy:
    """Configuration in force at one entry, as sent to another.

    For a manifest, ``head`` is the value of the head row as JSON, ``body`` the
    manifest's canonical bytes, and ``row_version`` the version of the row. For the
    state of a fleet, ``head`` encodes the upstream rows, ``body`` the configuration
    rows, and ``row_version`` is the store version of the newest change in force.
    """

    head: bytes
    body: bytes
    row_version: int


class ManifestCopySource(Protocol):
    """Source of the manifest in force, which can also install a peer's copy."""

    generation: int
    accepted_generation: int

    def has_contact(self) -> bool:
        """Whether the store was reached recently."""

    async def observe_generation(self, generation: int) -> None:
        """Observe the generation of a peer."""

    def make_copy(self) -> ManifestCopy | None:
        """Return the manifest in force, for a peer that can't reach the store."""

    async def install_copy(self, copy: ManifestCopy) -> None:
        """Put a peer's copy in force if it is newer; raises ConfigError."""
