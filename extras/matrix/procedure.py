"""Base class of the drivers of procedures."""

import json
import random
import subprocess
from collections.abc import Callable
from http.client import HTTPException
from typing import ClassVar

from extras.cluster import wait_until
from wisteriaarch.version.manifest import Manifest

from .bench import Bench
from .faults import Fault
from .layout import TWO_GROUPS, Layout

IN_FORCE_TIMEOUT_S = 6.0
COMPLETION_TIMEOUT_S = 20.0


class Procedure:
    """Driver of one procedure; each cell has its own object."""

    name: ClassVar[str]
    layout: ClassVar[Layout] = TWO_GROUPS

    def __init__(self, bench: Bench, faults: list[Fault], rng: random.Random):
        self.bench = bench
        self.faults = faults
        self.rng = rng
        self.violations: list[str] = []

    def act(self) -> None:
        """Run the procedure to completion; faults are injected meanwhile."""
        raise NotImplementedError

    def settle(self) -> None:
        """Complete the procedure, or the one that replaces it, after healing.

        Raises TimeoutError if that takes too long.
        """
        raise NotImplementedError

    def check(self) -> None:
        """Add each violated property to ``violations``."""

    def close(self) -> None:
        """Stop the driver's remaining threads."""

    def expect(self, holds: bool, text: str) -> None:
        """Record a violation unless ``holds``."""
        if not holds:
            self.violations.append(text)

    def apply(self) -> subprocess.CompletedProcess:
        """Apply the bench's manifest; the command's steps reach the step controller."""
        path = self.bench.cluster.path / f"manifest-{self.rng.getrandbits(32)}.json"
        path.write_text(json.dumps(self.bench.manifest()), encoding="utf-8")
        return self.bench.run_operator("apply", str(path))

    def apply_until_accepted(self) -> None:
        """Apply the bench's manifest until the platform's head row names it.

        Raises TimeoutError after three attempts.
        """
        digest = self.digest()
        for _ in range(3):
            if self.bench.head()["digest"] == digest:
                return
            self.apply()
        raise TimeoutError("a manifest was not accepted in three tries after healing")

    def digest(self) -> str:
        """Return the digest of the bench's manifest."""
        return Manifest.model_validate(self.bench.manifest()).digest()

    def wait_in_force(self) -> None:
        """Wait until each entry has the platform's generation and is ready."""

        def all_there() -> bool:
            generation = self.bench.head()["generation"]
            statuses = [self.bench.status(entry) for entry in self.bench.entries]
            return all(
                item and item["generation"] == generation and item["ready"]
                for item in statuses
            )

        wait_for(all_there, IN_FORCE_TIMEOUT_S)


def wait_for(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until ``condition()`` is true; connection errors count as false.

    Raises TimeoutError.
    """

    def holds() -> bool:
        try:
            return condition()
        except (OSError, HTTPException):
            return False

    wait_until(holds, timeout_s, every_s=0.1)
