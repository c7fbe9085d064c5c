"""The other entries of a gateway: which live, and what they tell of the store."""

import random
import time
from collections.abc import Awaitable, Callable, Iterable

from .adapter import PlatformAdapter
from .connection.copy_client import CopyClient
from .connection.prober import Prober
from .connection.store_relay import StoreRelay
from .events import EventLog
from .process.address_choice import choose_entries
from .process.digest import CrashRecord
from .process.entry_list import EntryList
from .process.fleet import Fleet
from .process.fleet_state import FleetState
from .process.gateway_settings import GatewaySettings
from .process.member_list import MemberList, MemberRecord
from .process.watcher_election import WatcherElection
from .wire import Address

MS_PER_S = 1000


class EntryNetwork:
    """Finds the other entries, and shares the store's rows with them."""

    def __init__(
        self, settings: GatewaySettings, adapter: PlatformAdapter, log: EventLog
    ):
        own = MemberRecord(
            settings.entry_id,
            incarnation=int(time.time() * MS_PER_S),
            zone=settings.zone,
            cores=settings.cores,
        )
        self.members = MemberList(own)
        self._rng = random.Random(settings.seed)
        duty = WatcherElection(self.members)
        self.state = FleetState(
            adapter, settings.watch_wait_s, log, settings.seed, duty.should_watch
        )
        self._entries = EntryList(
            adapter.rows,
            settings.entry_id,
            settings.zone,
            settings.front.port,
            settings.peer_port,
            tuple(Address.parse(seed).host for seed in settings.seeds),
            adapter.store_era,
        )
        self.state.newest_peer_configuration = self._highest_elsewhere
        self._fleet = Fleet(
            self._entries,
            settings.entries_poll_every_s,
            settings.seed,
            self._entries.cached_instances(),
        )
        self._prober = Prober(
            self.members,
            self._listed,
            settings.peer_port,
            self.state,
            log,
            settings.seed,
        )
        self._copies = CopyClient(
            self.members, self.state, self.peer_address, log, settings.seed
        )
        self._relay = StoreRelay(
            self._prober, duty, self.state, self._copies, settings.seed
        )

    def task_mains(self) -> list[Callable[[], Awaitable]]:
        """Return the tasks that must be running."""
        return [
            self._entries.register,
            self._fleet.run,
            self._prober.run,
            self._copies.run,
            self._relay.run,
            *self.state.task_mains(),
        ]

    def share_crashes(
        self,
        known: Callable[[], Iterable[CrashRecord]],
        absorb: Callable[[tuple[CrashRecord, ...]], None],
    ) -> None:
        """Tell entries that start of known crashes, and take in those told here."""
        self._prober.known_crashes = known
        self._prober.on_crashes = absorb

    async def announce(self, *, ready: bool, leaving: bool) -> None:
        """Tell all others of this entry's own state."""
        self.members.update_own_state(ready=ready, leaving=leaving)
        await self._prober.announce()

    async def announce_crashes(self, records: Iterable[CrashRecord]) -> None:
        """Tell all others of requests that were in flight at crashes."""
        await self._prober.announce(tuple(records))

    def peer_address(self, entry_id: str) -> Address:
        """Return where an entry takes the messages of others."""
        return self._entries.make_instance(entry_id).peer_address

    def caller_addresses(self, zone: str) -> list[Address]:
        """Return where callers of an availability zone may connect."""
        names = choose_entries(self.members.living_records(), zone, self._rng)
        return [self._entries.make_instance(name).address for name in names]

    def count(self) -> int:
        """Return how many entries there are; those listed where none was heard yet."""
        known = {item.entry_id for item in self.members.living_records()}
        if len(known) == 1:
            known.update(self._listed())
        return len(known)

    def _highest_elsewhere(self) -> int | None:
        if not self.members.living_others():
            return None
        return self.members.highest_configuration()

    def _listed(self) -> list[str]:
        return [item.instance_id for item in self._fleet.of_kind("entry")]
