"""Assembles the parts that run requests: runner, claim journal and quarantine."""

from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Self

from ..connection.upstream_pool import UpstreamPool
from ..errors import ErrorKind
from ..event_log import EventLog
from ..process.fleet import Fleet
from ..process.group_commit import GroupCommit
from ..process.settings import EntrySettings
from ..process.store import ObjectStore, TableStore
from ..version.publication import ActiveManifest
from .admission import Admission
from .block_quarantine import BlockQuarantine, TrialPolicy
from .block_trial import choose_trial_owner
from .claim_epochs import ClaimEpochs
from .claim_journal import ClaimJournal
from .claim_sweep import ClaimSweep
from .crash_rows import CrashRows, IsolationLocks, is_assigned_upstream
from .isolation import Isolation
from .owner_probe import OwnerProbe
from .quarantine import Quarantine
from .request_limiter import RequestLimiter
from .request_runner import RequestRunner
from .routing import Router
from .signal_reader import SignalReader


def commit_interval_s(settings: EntrySettings, fleet: Fleet) -> float:
    """Return the commit interval that keeps all entries within the write budget."""
    share_s = len(fleet.of_kind("entry")) / settings.claim_writes_per_s
    return max(settings.claim_commit_every_s, share_s)


class RequestPath:
    """Request runner with its journal and quarantine; one instance per entry."""

    def __init__(
        self,
        runner: RequestRunner,
        journal: ClaimJournal,
        quarantine: Quarantine,
        blocks: BlockQuarantine,
        commit: GroupCommit,
        sweep: ClaimSweep,
    ):
        self.runner = runner
        self.journal = journal
        self.quarantine = quarantine
        self.blocks = blocks
        self._commit = commit
        self._sweep = sweep

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        incarnation: int,
        table: TableStore,
        objects: ObjectStore,
        fleet: Fleet,
        active_manifest: Callable[[], ActiveManifest],
        router: Router,
        admission: Admission,
        pool: UpstreamPool,
        limiter: RequestLimiter,
        signal_reader: SignalReader,
        living_peers: Callable[[], Iterable[str]],
        log: EventLog,
    ) -> Self:
        """Build all parts for one entry; ``living_peers`` returns the other entries."""
        entry_id = settings.entry_id
        owners = OwnerProbe(fleet)
        commit = GroupCommit(table, partial(commit_interval_s, settings, fleet), log)
        epochs = ClaimEpochs(table, settings.claims_kept_s)
        journal = ClaimJournal(
            entry_id, incarnation, table, objects, commit, epochs, owners, log
        )
        sweep_interval_s = settings.claims_sweep_every_s
        sweep = ClaimSweep(table, objects, epochs, fleet, sweep_interval_s, log)
        quarantine = Quarantine(CrashRows(table), log)

        def is_trial_owner(block: str) -> bool:
            return choose_trial_owner(block, [entry_id, *living_peers()]) == entry_id

        def count_entries() -> int:
            return 1 + len(list(living_peers()))

        trials = TrialPolicy(is_trial_owner, count_entries)
        blocks = BlockQuarantine(log, ErrorKind.QUARANTINED, trials)
        is_assigned = partial(is_assigned_upstream, fleet, entry_id)
        locks = IsolationLocks(table, owners, entry_id, incarnation, is_assigned)
        runner = RequestRunner(
            active_manifest,
            router,
            admission,
            pool,
            journal,
            quarantine,
            blocks,
            Isolation(locks, log),
            limiter,
            signal_reader,
            log,
        )
        return cls(runner, journal, quarantine, blocks, commit, sweep)

    def task_mains(self) -> list[Callable[[], Awaitable]]:
        """Return the main functions of the background tasks that must be running."""
        return [
            self._commit.run,
            self.journal.run,
            self.quarantine.run,
            self._sweep.run,
        ]
