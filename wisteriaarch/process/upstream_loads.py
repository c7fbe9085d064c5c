"""Work in flight on each upstream, by this entry and by its peers."""

import contextlib
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from .clock import now_s
from .digest import SentWork
from .upstream_health import UpstreamHealth

PEER_WORK_KEPT_S = 1.5
PACE_WEIGHT = 0.3
PACE_FADES_S = 3.0
PACE_MIN = 0.5
PACE_MAX = 10.0
TYPICAL_WEIGHT = 0.05


@dataclass
class Pace:
    """How much longer than expected an upstream takes; 1 where nothing is known."""

    ratio: float = 1.0
    noted_at_s: float = 0.0

    def note(self, observed_s: float, expected_s: float, at_s: float) -> None:
        """Take in how long some work took."""
        seen = min(PACE_MAX, max(PACE_MIN, observed_s / max(expected_s, 1e-4)))
        known = self.at(at_s)
        self.ratio = known + PACE_WEIGHT * (seen - known)
        self.noted_at_s = at_s

    def at(self, at_s: float) -> float:
        """Return the ratio; it fades towards 1 where nothing new is seen."""
        age_s = max(0.0, at_s - self.noted_at_s)
        return 1 + (self.ratio - 1) * math.exp(-age_s / PACE_FADES_S)


@dataclass
class UpstreamLoad:
    """What this entry has in flight on one upstream, and what it saw of it.

    ``heard_at_s`` is when the upstream last answered anything here.
    """

    requests: int = 0
    prompt_tokens: int = 0
    heard_at_s: float = 0.0
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    pace: Pace = field(default_factory=Pace)


@dataclass(frozen=True)
class PeerWork:
    """What a peer has in flight on one upstream, as it last said."""

    requests: int
    prompt_tokens: int
    heard_at_s: float


@dataclass
class TypicalTime:
    """Moving average of how long work of one kind takes, in seconds."""

    value_s: float | None = None

    def note(self, observed_s: float) -> float:
        """Take in one time and return the average before it."""
        if self.value_s is None:
            self.value_s = observed_s
        before_s = self.value_s
        self.value_s += TYPICAL_WEIGHT * (observed_s - self.value_s)
        return before_s


class UpstreamLoads:
    """Loads of all upstreams by id."""

    def __init__(self):
        self._loads: dict[str, UpstreamLoad] = defaultdict(UpstreamLoad)
        self._peers: dict[str, dict[str, PeerWork]] = defaultdict(dict)
        self._typical: dict[str, TypicalTime] = defaultdict(TypicalTime)

    def of(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of one upstream."""
        return self._loads[upstream_id]

    @contextlib.contextmanager
    def sending(self, upstream_id: str, prompt_tokens: int = 0) -> Iterator[None]:
        """Count one request, with the prompt tokens that it has read, as in flight."""
        load = self._loads[upstream_id]
        load.requests += 1
        load.prompt_tokens += prompt_tokens
        try:
            yield
        finally:
            load.requests -= 1
            load.prompt_tokens -= prompt_tokens

    def is_suspended(self, upstream_id: str) -> bool:
        """Whether an upstream is left out while others can take the work."""
        load = self._loads.get(upstream_id)
        return load is not None and load.health.is_suspended(now_s())

    def note_time(self, upstream_id: str, work: str, observed_s: float) -> None:
        """Compare how long a kind of work took with what it takes elsewhere."""
        expected_s = self._typical[work].note(observed_s)
        self._loads[upstream_id].pace.note(observed_s, expected_s, now_s())

    def requests(self, upstream_id: str) -> int:
        """Return the requests in flight, those of peers included."""
        heard = sum(item.requests for item in self._heard(upstream_id))
        return self._loads[upstream_id].requests + heard

    def prompt_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens being read, those of peers included."""
        heard = sum(item.prompt_tokens for item in self._heard(upstream_id))
        return self._loads[upstream_id].prompt_tokens + heard

    def _heard(self, upstream_id: str) -> Iterator[PeerWork]:
        since_s = now_s() - PEER_WORK_KEPT_S
        for item in self._peers.get(upstream_id, {}).values():
            if item.heard_at_s >= since_s:
                yield item

    def export_sent(self) -> Iterator[SentWork]:
        """Return what is in flight from here, for the peers."""
        for upstream_id, load in self._loads.items():
            if load.requests:
                yield SentWork(upstream_id, load.requests, load.prompt_tokens)

    def absorb_sent(self, peer_id: str, works: tuple[SentWork, ...]) -> None:
        """Take in what a peer has in flight; replaces what it said before."""
        for peers in self._peers.values():
            peers.pop(peer_id, None)
        heard_at_s = now_s()
        for work in works:
            self._peers[work.upstream][peer_id] = PeerWork(
                work.requests, work.prefill_tokens, heard_at_s
            )

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream, unless something is in flight there."""
        load = self._loads.get(upstream_id)
        if load is not None and not load.requests:
            del self._loads[upstream_id]
            self._peers.pop(upstream_id, None)
