"""Polling of the head row by an entry, and activation of new manifests."""

import json
import random

import curio

from ..errors import ConfigError, StoreUnavailable
from ..event_log import EventLog
from ..events import Event
from ..process.backoff import Backoff
from ..process.clock import now_s
from ..process.manifest_copy import ManifestCopy
from ..process.store import ObjectStore, TableStore, encode_json
from ..steps import Step, reach_step
from .head import Head
from .manifest import Manifest
from .publication import ActiveManifest, read_head, read_manifest

RETRY_INTERVAL_MAX_S = 2.0
WAKE_JITTER_MAX_S = 0.25
CONTACT_MAX_POLLS = 4


class ManifestWatcher:
    """Polls the head row and activates it; the generation in force never decreases.

    ``accepted_generation`` is the highest generation read from the table, which may be
    above the one in force while its manifest can't be fetched.
    """

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        poll_every_s: float,
        log: EventLog,
        seed: int | None = None,
    ):
        self._table = table
        self._objects = objects
        self._poll_every_s = poll_every_s
        self._log = log
        self._rng = random.Random(seed)
        self._wake_jitter_s = min(poll_every_s, WAKE_JITTER_MAX_S)
        self._backoff = Backoff(poll_every_s, RETRY_INTERVAL_MAX_S, self._rng)
        self._store_available = True
        self._wake = curio.Event()
        self._notified_generation = 0
        self.accepted_generation = 0
        self.current: ActiveManifest | None = None
        self.confirmed_at_s: float | None = None

    @property
    def generation(self) -> int:
        """Generation in force; 0 before the first one."""
        return self.current.head.generation if self.current else 0

    async def run(self) -> None:
        """Poll the head row, forever."""
        while True:
            confirmed = await self.refresh()
            if confirmed and self._is_confirmation_overdue():
                continue
            async with curio.ignore_after(self._backoff.next_delay_s(confirmed)):
                await self._wake.wait()
                await curio.sleep(self._rng.uniform(0, self._wake_jitter_s))
            self._wake.clear()

    def _is_confirmation_overdue(self) -> bool:
        """Whether the last confirmation is too old, as after a pause of the process."""
        return now_s() - self.confirmed_at_s > self._poll_every_s

    async def observe_generation(self, generation: int) -> None:
        """Read the head soon, since a peer reports ``generation`` in force."""
        if generation > max(self.generation, self._notified_generation):
            self._notified_generation = generation
            await self._wake.set()

    def has_contact(self) -> bool:
        """Whether the last poll of the store succeeded and is recent."""
        if self.confirmed_at_s is None or not self._store_available:
            return False
        return now_s() - self.confirmed_at_s < CONTACT_MAX_POLLS * self._poll_every_s

    async def refresh(self) -> bool:
        """Read the head once; True if the store confirmed the generation in force."""
        requested_at_s = now_s()
        try:
            head = await read_head(self._table)
            self.accepted_generation = max(self.accepted_generation, head.generation)
            if head.generation > self.generation:
                await self._activate(head, await self._load_manifest(head))
        except StoreUnavailable as exc:
            self._set_store_available(False, exc)
            return False
        except ConfigError as exc:
            self._log.write(Event.MANIFEST_FETCH_FAILED, error=str(exc))
            return False
        self._set_store_available(True)
        self.confirmed_at_s = requested_at_s
        return True

    def make_copy(self) -> ManifestCopy | None:
        """Return the manifest in force, for a peer that can't reach the store."""
        if self.current is None:
            return None
        head, manifest = self.current.head, self.current.manifest
        body = manifest.canonical_bytes()
        return ManifestCopy(encode_json(head.as_value()), body, head.row_version)

    async def install_copy(self, copy: ManifestCopy) -> None:
        """Activate a peer's copy if it is newer; raises ConfigError if invalid."""
        try:
            head = Head.from_value(json.loads(copy.head), copy.row_version)
        except (KeyError, TypeError, ValueError) as exc:
            raise ConfigError(f"invalid head received from a peer: {exc!r}") from exc
        manifest = Manifest.parse(copy.body, f"manifest {head.digest} from a peer")
        if manifest.digest() != head.digest:
            raise ConfigError(
                f"manifest from a peer: digest differs from {head.digest}"
            )
        await self._activate(head, manifest, "peer")

    async def _load_manifest(self, head: Head) -> Manifest:
        if self.current and self.current.head.digest == head.digest:
            return self.current.manifest
        return await read_manifest(self._objects, head)

    async def _activate(
        self, head: Head, manifest: Manifest, origin: str = "table"
    ) -> None:
        if head.generation <= self.generation:
            return
        self.current = ActiveManifest(head, manifest)
        await reach_step(Step.PUBLISH_SEEN)
        self._log.write(
            Event.MANIFEST_IN_FORCE,
            revision=head.revision,
            generation=head.generation,
            digest=head.digest,
            origin=origin,
        )

    def _set_store_available(
        self, available: bool, exc: Exception | None = None
    ) -> None:
        if available == self._store_available:
            return
        self._store_available = available
        if available:
            self._log.write(Event.STORE_AVAILABLE)
        else:
            self._log.write(Event.STORE_UNAVAILABLE, error=str(exc))
