"""Required relations between an entry's settings and the manifest in force.

They can't be checked at startup, since the manifest may change later; unmet ones are
logged instead.
"""

from collections.abc import Iterator

import curio

from ..event_log import EventLog
from ..events import Event
from ..process.settings import EntrySettings
from ..process.settings_relations import Relation
from .manifest import Manifest
from .manifest_watcher import ManifestWatcher

CHECK_INTERVAL_S = 0.5


class ManifestSettingsCheck:
    """Logs each unmet relation, once for each revision in force."""

    def __init__(
        self, settings: EntrySettings, watcher: ManifestWatcher, log: EventLog
    ):
        self._settings = settings
        self._watcher = watcher
        self._log = log
        self._checked: Manifest | None = None

    async def run(self) -> None:
        """Check each manifest that comes into force, forever."""
        while True:
            current = self._watcher.current
            if current is not None and current.manifest is not self._checked:
                self._checked = current.manifest
                self._log_unmet_relations(current.head.revision, current.manifest)
            await curio.sleep(CHECK_INTERVAL_S)

    def _log_unmet_relations(self, revision: int, manifest: Manifest) -> None:
        for relation in manifest_relations(self._settings, manifest):
            if not relation.holds:
                self._log.write(
                    Event.SETTINGS_CONFLICT,
                    revision=revision,
                    field=relation.field,
                    value=relation.value_s,
                    expected=relation.describe_expectation(),
                )


def manifest_relations(cfg: EntrySettings, manifest: Manifest) -> Iterator[Relation]:
    """Yield the relations required of the settings while ``manifest`` is in force."""
    longest_caller = max(manifest.callers, key=lambda caller: caller.deadline_s)
    description = (
        f"callers.{longest_caller.name}.deadline_s, the longest in the manifest"
    )
    for field in ("stop_timeout_s", "claims_kept_s"):
        yield Relation(
            field, getattr(cfg, field), longest_caller.deadline_s, description
        )
    for group in manifest.groups:
        lease = cfg.lease
        yield Relation(
            "lease.term_s",
            lease.term_s,
            lease.renew_every_s + lease.drift_margin_s + group.order_read_timeout_s,
            "lease.renew_every_s + lease.drift_margin_s + "
            f"groups.{group.name}.order_read_timeout_s",
        )
