"""Work in flight on each upstream, as far as this entry sends or schedules it."""

import contextlib
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from .clock import now_s
from .upstream_health import UpstreamHealth

REPORT_KEPT_S = 0.4
PACE_WEIGHT = 0.3
PACE_FADES_S = 3.0
PACE_MIN = 0.5
PACE_MAX = 10.0
TYPICAL_WEIGHT = 0.05
READ_SHARE_MAX = 0.9


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
        if self.ratio == 1.0:
            return 1.0
        age_s = max(0.0, at_s - self.noted_at_s)
        return 1 + (self.ratio - 1) * math.exp(-age_s / PACE_FADES_S)


@dataclass(frozen=True)
class ReportedLoad:
    """What an upstream says of its own load: a fact, some milliseconds old."""

    running: int
    waiting: int
    slots: int

    @property
    def requests(self) -> int:
        """Requests that it has, whoever sent them."""
        return self.running + self.waiting


@dataclass
class UpstreamLoad:
    """What this entry has in flight on one upstream, and what it saw of it.

    ``readings`` are the prompts being read there, in tokens, the first of them since
    ``reading_since_s``. ``heard_at_s`` is when the upstream last answered anything
    here. ``unknown`` counts requests that it reported at ``reported_at_s`` beyond those
    known here.
    """

    requests: int = 0
    prompt_tokens: int = 0
    readings: list[int] = field(default_factory=list)
    reading_since_s: float = 0.0
    heard_at_s: float = 0.0
    unknown: int = 0
    reported_at_s: float = 0.0
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    pace: Pace = field(default_factory=Pace)

    def begin(self, prompt_tokens: int) -> None:
        """Take in a request in flight; its ``end`` is due once."""
        self.requests += 1
        self.prompt_tokens += prompt_tokens
        if prompt_tokens:
            if not self.readings:
                self.reading_since_s = now_s()
            self.readings.append(prompt_tokens)

    def end(self, prompt_tokens: int) -> None:
        """Take in that one request in flight has ended."""
        self.requests -= 1
        self.prompt_tokens -= prompt_tokens
        if prompt_tokens:
            self.readings.remove(prompt_tokens)
            self.reading_since_s = now_s()

    def tokens_left(self, at_s: float, rate: float) -> int:
        """Return how many tokens are left to be read, at ``rate`` tokens a second.

        A prompt that takes longer than it should counts with a rest of it.
        """
        if not self.readings:
            return 0
        read = rate * max(0.0, at_s - self.reading_since_s)
        return int(self.prompt_tokens - min(read, READ_SHARE_MAX * self.readings[0]))

    def unknown_at(self, at_s: float) -> int:
        """Return the requests of others that a fresh report tells of."""
        return self.unknown if at_s - self.reported_at_s < REPORT_KEPT_S else 0


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
        self._typical: dict[str, TypicalTime] = defaultdict(TypicalTime)

    def of(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of one upstream."""
        return self._loads[upstream_id]

    @contextlib.contextmanager
    def sending(self, upstream_id: str, prompt_tokens: int = 0) -> Iterator[None]:
        """Count one request, with the prompt tokens that it has read, as in flight."""
        load = self.begin(upstream_id, prompt_tokens)
        try:
            yield
        finally:
            load.end(prompt_tokens)

    def begin(self, upstream_id: str, prompt_tokens: int) -> UpstreamLoad:
        """Count one request as in flight; its ``end`` is due once."""
        load = self._loads[upstream_id]
        load.begin(prompt_tokens)
        return load

    def note_report(self, upstream_id: str, report: ReportedLoad) -> None:
        """Take in an upstream's own report; it counts for a short time."""
        load = self._loads[upstream_id]
        load.unknown = max(0, report.requests - load.requests)
        load.reported_at_s = now_s()

    def is_suspended(self, upstream_id: str) -> bool:
        """Whether an upstream is left out while others can take the work."""
        load = self._loads.get(upstream_id)
        return load is not None and load.health.is_suspended(now_s())

    def must_wait(self, upstream_id: str) -> bool:
        """Whether an upstream asked to be left alone."""
        load = self._loads.get(upstream_id)
        return load is not None and load.health.must_wait(now_s())

    def note_time(self, upstream_id: str, work: str, observed_s: float) -> None:
        """Compare how long a kind of work took with what it takes elsewhere."""
        expected_s = self._typical[work].note(observed_s)
        self._loads[upstream_id].pace.note(observed_s, expected_s, now_s())

    def requests(self, upstream_id: str) -> int:
        """Return the requests in flight, others that the upstream told of included."""
        load = self._loads[upstream_id]
        return load.requests + load.unknown_at(now_s())

    def prompt_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens being read."""
        return self._loads[upstream_id].prompt_tokens

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream, unless something is in flight there."""
        load = self._loads.get(upstream_id)
        if load is not None and not load.requests:
            del self._loads[upstream_id]
