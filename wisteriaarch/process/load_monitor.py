"""Views of all upstreams, refreshed by polling load reports."""

import hashlib
from collections.abc import Awaitable, Callable

import curio

from ..errors import WireError
from ..http_client import HttpClientConnection
from ..wire import Address
from .clock import now_s
from .digest import SentWork
from .engine_speeds import SpeedEstimates
from .fleet import Fleet
from .poll_schedule import PollCandidate, PollSchedule
from .request_limits import RequestLimits
from .store import Instance
from .upstream_paths import UpstreamPaths
from .upstream_view import MAX_REPORT_AGE_S, PeerWork, UpstreamView

POLL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.3
POLLED_PER_GROUP_MAX = 64
POLLS_PER_S_MAX = 40.0
ACTIVE_WINDOW_S = 5.0


Connect = Callable[[Address, float], Awaitable[HttpClientConnection]]


class LoadMonitor:
    """Views of engines, refreshed by one polling task.

    At most ``polled_per_group`` engines of each upstream group are polled. Rendezvous
    hashing with the entry's id selects them, so that entries poll different ones. Where
    ``polls_per_s`` does not allow all of them in each round, those that this entry
    sends requests to are polled more often than the others.
    """

    def __init__(
        self,
        fleet: Fleet,
        poll_interval_s: float,
        entry_id: str = "",
        groups: Callable[[], list[tuple[str, ...]]] = list,
        polled_per_group: int = POLLED_PER_GROUP_MAX,
        corrects_reports: bool = True,
        polls_per_s: float = POLLS_PER_S_MAX,
        connect: Connect = HttpClientConnection.connect,
        paths: UpstreamPaths | None = None,
    ):
        self._connect = connect
        self._paths = paths or UpstreamPaths()
        self._fleet = fleet
        self._poll_interval_s = poll_interval_s
        self._entry_id = entry_id
        self._groups = groups
        self._polled_per_group = polled_per_group
        self._corrects_reports = corrects_reports
        self._schedule = PollSchedule(poll_interval_s, polls_per_s)
        self.speeds = SpeedEstimates()
        self.limits = RequestLimits(self._may_exist)
        self.views: dict[str, UpstreamView] = {}

    def _may_exist(self, name: str) -> bool:
        return not self._fleet.instances or self._fleet.get(name) is not None

    def view(self, instance: Instance) -> UpstreamView:
        """Return the view of an instance, following a change of its address."""
        view = self.views.get(instance.instance_id)
        if view is None or view.instance != instance:
            view = UpstreamView(
                instance, speeds=self.speeds, corrects_reports=self._corrects_reports
            )
            self.views[instance.instance_id] = view
        return view

    def export_sent_work(self) -> tuple[SentWork, ...]:
        """Return this entry's work in flight, for its peers."""
        work = []
        for view in self.views.values():
            if view.sent:
                prefill = int(view.own_load().prefill_tokens)
                work.append(SentWork(view.name, len(view.sent), prefill))
        return tuple(work)

    def replace_peer_work(self, entry_id: str, peer_work: tuple[SentWork, ...]) -> None:
        """Store a peer's work in flight; it replaces that peer's previous state."""
        for view in self.views.values():
            view.peer_work.pop(entry_id, None)
        for item in peer_work:
            view = self.views.get(item.upstream)
            if view is not None:
                view.peer_work[entry_id] = PeerWork(
                    item.requests, item.prefill_tokens, now_s()
                )

    async def run(self) -> None:
        """Poll the loads of the selected engines until cancelled."""
        while True:
            async with curio.TaskGroup() as group:
                for instance in self._engines_due():
                    await group.spawn(self._poll, instance)
            await curio.sleep(self._poll_interval_s)

    def _engines_due(self) -> list[Instance]:
        """Return the engines to poll in this round."""
        engines = {item.instance_id: item for item in self._polled_engines()}
        views = [self.view(item) for item in engines.values()]
        candidates = [PollCandidate(view.name, _is_active(view)) for view in views]
        names = self._schedule.choose(candidates, now_s())
        valid_s = self._schedule.report_valid_s(MAX_REPORT_AGE_S)
        for view in views:
            view.report_valid_s = valid_s
        return [engines[name] for name in names]

    def _polled_engines(self) -> list[Instance]:
        engines = {item.instance_id: item for item in self._fleet.of_kind("engine")}
        if len(engines) <= self._polled_per_group:
            return list(engines.values())
        chosen: set[str] = set()
        for names in self._groups():
            chosen.update(choose_subset(self._entry_id, names, self._polled_per_group))
        return [item for name, item in engines.items() if name in chosen]

    async def _poll(self, instance: Instance) -> None:
        view = self.view(instance)
        started_at_s = now_s()
        try:
            async with curio.timeout_after(POLL_TIMEOUT_S):
                view.apply_report(view.report_reader.read(await self._fetch_load(view)))
        except (curio.TaskTimeout, OSError, WireError, KeyError):
            view.report = None
            await _close_poll_conn(view)
        view.poll_started_at_s = started_at_s

    async def _fetch_load(self, view: UpstreamView) -> dict:
        if view.poll_conn is None:
            address = view.instance.address
            view.poll_conn = await self._connect(address, CONNECT_TIMEOUT_S)
        conn = view.poll_conn
        with self._paths.waiting_unless(conn.is_relayed):
            await conn.send_request("GET", "/load", [])
            response = await conn.read_head()
            response.body = await conn.read_body()
        if not conn.is_relayed:
            self._paths.record_answer(conn.address)
        # The next poll shows whether the upstream can be reached directly again.
        if conn.is_relayed or not conn.start_next_cycle():
            await _close_poll_conn(view)
        return response.json()


def _is_active(view: UpstreamView) -> bool:
    """Whether this entry sends requests to an upstream, or waits for its report."""
    recent = now_s() - view.last_sent_s < ACTIVE_WINDOW_S
    return bool(view.sent) or recent or view.report is None


def choose_subset(entry_id: str, names: tuple[str, ...], size: int) -> list[str]:
    """Return the ``size`` names that rank first for this entry."""
    return sorted(names, key=lambda name: _rank(entry_id, name))[:size]


def _rank(entry_id: str, name: str) -> bytes:
    return hashlib.blake2b(f"{entry_id}\0{name}".encode(), digest_size=8).digest()


async def _close_poll_conn(view: UpstreamView) -> None:
    conn, view.poll_conn = view.poll_conn, None
    if conn is not None:
        await conn.close()
