"""Membership of the gateway entries and sharing of the store's rows among them."""

import random
import time
from collections.abc import Awaitable, Callable, Iterable

from .adapter import PlatformAdapter
from .connection.copy_client import CopyClient
from .connection.prober import Prober
from .connection.store_relay import StoreRelay
from .event_log import EventLog
from .process.address_choice import choose_entries
from .process.digest import BlockRecords, CrashRecord, LimitRecord
from .process.entry_list import EntryList
from .process.fleet import Fleet
from .process.fleet_state import FleetState
from .process.gateway_settings import GatewaySettings
from .process.member_list import MemberList, MemberRecord
from .process.watcher_election import WatcherElection
from .wire import Address

MS_PER_S = 1000


class EntryNetwork:
    """Discovers the other entries and shares the store's rows with them."""

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
        election = WatcherElection(self.members)
        self.state = FleetState(
            adapter, settings.watch_wait_s, log, settings.seed, election.should_watch
        )
        self._entry_list = EntryList(
            adapter.rows,
            settings.entry_id,
            settings.zone,
            settings.front.port,
            settings.peer_port,
            tuple(Address.parse(seed).host for seed in settings.seeds),
            adapter.store_era,
        )
        self.state.newest_peer_configuration = self._newest_peer_configuration
        self._fleet = Fleet(
            self._entry_list,
            settings.entries_poll_every_s,
            settings.seed,
            self._entry_list.cached_instances(),
        )
        self._prober = Prober(
            self.members,
            self._listed_entries,
            settings.peer_port,
            self.state,
            log,
            settings.seed,
        )
        self._copy_client = CopyClient(
            self.members, self.state, self.peer_address, log, settings.seed
        )
        self._relay = StoreRelay(
            self._prober, election, self.state, self._copy_client, settings.seed
        )

    def task_mains(self) -> list[Callable[[], Awaitable]]:
        """Return the main functions of the network's tasks."""
        return [
            self._entry_list.register,
            self._fleet.run,
            self._prober.run,
            self._copy_client.run,
            self._relay.run,
            *self.state.task_mains(),
        ]

    def exchange_crashes(
        self,
        export: Callable[[], Iterable[CrashRecord]],
        merge: Callable[[tuple[CrashRecord, ...]], None],
    ) -> None:
        """Exchange crash records with the other entries.

        ``export`` provides the records sent to entries that start; ``merge`` receives
        the records sent by other entries.
        """
        self._prober.gossip.known_crashes = export
        self._prober.gossip.on_crashes = merge

    def exchange_limits(
        self,
        export: Callable[[int], Iterable[LimitRecord]],
        merge: Callable[[tuple[LimitRecord, ...]], None],
    ) -> None:
        """Exchange request limits of upstreams with the other entries.

        ``export`` provides up to a number of them; ``merge`` receives those of others.
        """
        self._prober.gossip.known_limits = export
        self._prober.gossip.on_limits = merge

    def exchange_blocks(
        self,
        export: Callable[[int], BlockRecords],
        merge: Callable[[BlockRecords], None],
    ) -> None:
        """Exchange what is known of prompt blocks and crashes with the other entries.

        ``export`` provides up to a number of records; ``merge`` receives those of
        others.
        """
        self._prober.gossip.known_blocks = export
        self._prober.gossip.on_blocks = merge

    def exchange_times(
        self, estimate: Callable[[], float], observe: Callable[[str, float], None]
    ) -> None:
        """Exchange estimates of the true time with the other entries."""
        self._prober.gossip.estimate_time = estimate
        self._prober.gossip.on_time = observe

    async def announce(self, *, ready: bool, leaving: bool) -> None:
        """Notify all other entries of this entry's state."""
        self.members.update_own_state(ready=ready, leaving=leaving)
        await self._prober.announce()

    async def announce_crashes(
        self, records: Iterable[CrashRecord], blocks: BlockRecords
    ) -> None:
        """Notify all other entries of requests and blocks in flight at crashes."""
        await self._prober.announce(tuple(records), blocks)

    def peer_address(self, entry_id: str) -> Address:
        """Return the address on which an entry receives messages of its peers."""
        return self._entry_list.make_instance(entry_id).peer_address

    def peer_addresses(self) -> list[Address]:
        """Return the peer addresses of the other living entries."""
        return [
            self.peer_address(item.entry_id) for item in self.members.living_others()
        ]

    def caller_addresses(self, zone: str) -> list[Address]:
        """Return entry addresses for callers in an availability zone."""
        names = choose_entries(self.members.living_records(), zone, self._rng)
        return [self._entry_list.make_instance(name).address for name in names]

    def count_entries(self) -> int:
        """Return the number of living entries.

        The listed ones are counted while no other entry is known to be alive.
        """
        known = {item.entry_id for item in self.members.living_records()}
        if len(known) == 1:
            known.update(self._listed_entries())
        return len(known)

    def _newest_peer_configuration(self) -> int | None:
        if not self.members.living_others():
            return None
        return self.members.highest_configuration()

    def _listed_entries(self) -> list[str]:
        return [item.instance_id for item in self._fleet.of_kind("entry")]
