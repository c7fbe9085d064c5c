"""Status of all entries, as queried by an operator's command."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from ..errors import StoreUnavailable, WireError
from ..http_fetch import fetch
from ..process.clock import now_s
from ..process.entry_status import EntryStatus
from ..process.http_store import HttpInstanceList
from ..process.membership import DRIFT_MARGIN_S
from ..process.store import Instance
from ..wire import Address

POLL_INTERVAL_S = 0.1
REREAD_INTERVAL_S = 1.0
CONCURRENT_QUERIES_MAX = 32
STATUS_TIMEOUT_S = 1.0
UNLISTED_ENTRIES_TEXT = "entries unknown, since the platform does not list them"

Condition = Callable[[EntryStatus], bool]


@dataclass(frozen=True)
class FleetView:
    """Status of each listed entry; None if it did not answer."""

    statuses: dict[str, EntryStatus | None]

    @classmethod
    async def read(cls, platform: Address) -> "FleetView":
        """Query every listed entry; raises StoreUnavailable."""
        entries = await _list_entries(HttpInstanceList(platform))
        return cls(dict(sorted((await _read_statuses(entries)).items())))

    def answered(self) -> list[EntryStatus]:
        """Return the statuses of the entries that answered."""
        return [status for status in self.statuses.values() if status is not None]

    def has_stopped_accepting(self, name: str, change_age_s: float) -> bool:
        """Whether an isolated entry has stopped accepting new requests.

        ``change_age_s`` is the time since the change was accepted. An entry that no
        other entry has heard from for the staleness bound refuses new requests, unless
        it still has contact with a majority of the entries. It has no majority if at
        least half of the entries answer here and none of them had recent contact.
        """
        if 2 * len(self.answered()) < len(self.statuses):
            return False
        return all(
            change_age_s > status.freshness_bound_s + DRIFT_MARGIN_S
            and not _has_recent_contact(status, name)
            for status in self.answered()
        )


@dataclass(frozen=True)
class WaitOutcome:
    """Entries by their result: condition met, not met, or isolated.

    ``isolated`` entries can't be reached and no longer accept new requests.
    """

    met: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    isolated: list[str] = field(default_factory=list)


class EntryPoller:
    """Polls the listed entries until each meets a condition.

    An entry that meets the condition is queried again only while another entry is
    unreachable, at most every REREAD_INTERVAL_S: its status shows when it last had
    contact with the unreachable one.
    """

    def __init__(self, platform: Address, condition: Condition):
        self._instances = HttpInstanceList(platform)
        self._condition = condition
        self._statuses: dict[str, EntryStatus | None] = {}
        self._next_reread_at_s = 0.0

    async def poll(self, change_age_s: float) -> WaitOutcome:
        """Query the entries whose status is needed; raises StoreUnavailable."""
        entries = await _list_entries(self._instances)
        queried = [
            entry for entry in entries if not self._meets_condition(entry.instance_id)
        ]
        if self._has_unreachable() and now_s() >= self._next_reread_at_s:
            self._next_reread_at_s = now_s() + REREAD_INTERVAL_S
            queried = entries
        answers = await _read_statuses(queried)
        statuses = {**self._statuses, **answers}
        names = sorted(entry.instance_id for entry in entries)
        self._statuses = {name: statuses[name] for name in names}
        return _classify_entries(
            FleetView(self._statuses), self._condition, change_age_s
        )

    def _meets_condition(self, name: str) -> bool:
        status = self._statuses.get(name)
        return status is not None and self._condition(status)

    def _has_unreachable(self) -> bool:
        return None in self._statuses.values()


async def wait_for_entries(
    platform: Address, condition: Condition, timeout_s: float
) -> WaitOutcome:
    """Wait until every entry that accepts new requests meets ``condition``.

    The change has already been accepted, so a failure of the platform during the wait
    is not an error: the platform is queried again.
    """
    started_at_s = now_s()
    outcome = WaitOutcome(missing=[UNLISTED_ENTRIES_TEXT])
    poller = EntryPoller(platform, condition)
    while True:
        waited_s = now_s() - started_at_s
        with contextlib.suppress(StoreUnavailable):
            outcome = await poller.poll(waited_s)
        if not outcome.missing or waited_s > timeout_s:
            return outcome
        await curio.sleep(POLL_INTERVAL_S)


def _classify_entries(
    view: FleetView, condition: Condition, change_age_s: float
) -> WaitOutcome:
    outcome = WaitOutcome()
    for name, status in view.statuses.items():
        if status is not None and condition(status):
            outcome.met.append(name)
        elif status is None and view.has_stopped_accepting(name, change_age_s):
            outcome.isolated.append(name)
        else:
            outcome.missing.append(name)
    return outcome


def _has_recent_contact(status: EntryStatus, name: str) -> bool:
    bound_s = status.freshness_bound_s + DRIFT_MARGIN_S
    return any(
        member.entry == name
        and member.heard_age_s is not None
        and member.heard_age_s <= bound_s
        for member in status.members
    )


async def _list_entries(instances: HttpInstanceList) -> list[Instance]:
    return [item for item in await instances.list() if item.kind == "entry"]


async def _read_statuses(entries: list[Instance]) -> dict[str, EntryStatus | None]:
    """Query entries with bounded concurrency; None if one did not answer."""
    statuses: dict[str, EntryStatus | None] = {}
    slots = curio.Semaphore(CONCURRENT_QUERIES_MAX)

    async def ask(entry: Instance) -> None:
        async with slots:
            statuses[entry.instance_id] = await _read_status(entry)

    async with curio.TaskGroup() as group:
        for entry in entries:
            await group.spawn(ask, entry)
    return statuses


async def _read_status(entry: Instance) -> EntryStatus | None:
    try:
        response = await fetch(
            entry.address, "GET", "/v1/status", timeout_s=STATUS_TIMEOUT_S
        )
        return EntryStatus.parse(response.body)
    except (OSError, WireError):
        return None
