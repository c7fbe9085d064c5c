"""Where a call is placed: pure decisions on what is known of the upstreams.

All costs are in seconds until the call's first event, as far as they can be told.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..process.cache_belief import Holding
from ..process.upstreams import Stage, Upstream
from .routed_call import Prompt

FULL_COST_S = 0.5
FAILURE_COST_S = 2.0
OTHER_ZONE_COST_S = 0.004
REQUEST_COST_S = 0.02
BATCHED_REQUEST_COST_S = 0.003
CROWDED_SHARE = 0.1
MOVE_COST_S = 0.035
DIRECT_SLOWDOWN = 2.0
READING_SHARE_OF_PAUSE = 0.65
COPIED_SHARE = 0.25
HOLDER_GAIN_SHARE = 0.2
HOME_GAIN_SHARE = 0.15
COLD_FACTOR = 1.5


@dataclass(frozen=True)
class Candidate:
    """Upstream with what is known of its load.

    ``requests`` and ``prompt_tokens`` are in flight from all entries, ``pace`` is how
    much longer than others it takes, ``failure_share`` of recent attempts failed.
    ``holding`` is what is believed of the prompt's shared parts in its memory.
    """

    upstream: Upstream
    requests: int = 0
    prompt_tokens: int = 0
    pace: float = 1.0
    failure_share: float = 0.0
    suspended: bool = False
    full: bool = False
    holding: Holding = Holding.NONE

    @property
    def holds_shared(self) -> bool:
        """Whether it need not read the shared parts of a prompt."""
        return self.holding is Holding.HELD


@dataclass(frozen=True)
class Choice:
    """Candidate with its predicted cost.

    ``fetch_from`` is an upstream whose cache probably holds the shared parts of the
    prompt; copying them takes a fraction of reading them. ``tokens`` is how many tokens
    it is expected to read.
    """

    candidate: Candidate
    cost_s: float
    fetch_from: Upstream | None = None
    tokens: int = 0


@dataclass(frozen=True)
class FleetPace:
    """Speed at which engines read prompts (tokens a second) and how busy stages are."""

    rate: float
    busy_prefill: float = 0.0
    busy_decode: float = 0.0


@dataclass(frozen=True)
class StagePlan:
    """Whether a prompt is read apart, and the prediction behind it.

    With ``prefill`` set it is; otherwise ``decode`` reads it itself. Without any engine
    that runs prompts both are None: nothing is read in vain.
    """

    prefill: Choice | None
    decode: Choice | None


def can_run(item: Candidate) -> bool:
    """Whether an upstream runs calls itself, and not only reads prompts."""
    return item.upstream.stage is not Stage.PREFILL


def holders_of(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return those that others can copy the shared parts from."""
    return [item for item in candidates if item.holds_shared]


def guess_holders(
    candidates: Sequence[Candidate], prompt: Prompt
) -> Sequence[Candidate]:
    """Take the homes of a prompt for engines that may hold its shared parts.

    Load pattern: entries start again, know nothing of what was placed before, and would
    have all prompts read anew.
    """
    if any(item.holding for item in candidates):
        return candidates
    homes = {
        find_home(prompt.first_part, group)
        for group in (
            [item for item in candidates if not can_run(item)],
            [item for item in candidates if can_run(item)],
        )
    }
    return [
        replace(item, holding=Holding.MAYBE)
        if item.upstream.upstream_id in homes
        else item
        for item in candidates
    ]


def relative_paces(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates with paces against the best one of each stage.

    Load pattern: at a peak all upstreams take longer than usual. That makes none of
    them a slow one, and says nothing about another stage.
    """
    best: dict[Stage | None, float] = {}
    for item in candidates:
        stage = item.upstream.stage
        best[stage] = min(item.pace, best.get(stage, item.pace))
    return [
        replace(item, pace=item.pace / max(1.0, best[item.upstream.stage]))
        for item in candidates
    ]


def place_service_call(candidates: Sequence[Candidate], zone: str) -> Choice | None:
    """Return the upstream with the shortest expected wait.

    Load pattern: many short calls on upstreams of few slots and unlike speeds.
    """

    def cost_s(item: Candidate) -> float:
        share = (item.requests + 1) / max(1, item.upstream.slots)
        return REQUEST_COST_S * item.pace * (1 + share)

    return _cheapest(candidates, zone, cost_s)


def place_prefill(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copies: Sequence[Candidate] = (),
) -> Choice | None:
    """Return the engine that has read the prompt first; ``rate`` in tokens a second.

    Load pattern: many long prompts that share long parts, more of these than one
    engine's memory holds. They go where these parts are, unless the queue there costs
    more than copying or reading the parts elsewhere. What no engine holds goes where
    all entries expect it.
    """
    home = find_home(prompt.first_part, candidates)

    def cost_s(item: Candidate) -> float:
        tokens = tokens_to_read(prompt, item, copies)
        gain_s = _keeping_gain_s(prompt, item, home, rate)
        return item.pace * (item.prompt_tokens + tokens) / rate - gain_s

    return _cheapest(candidates, zone, cost_s)


def place_decode(
    candidates: Sequence[Candidate], prompt: Prompt, rate: float, zone: str
) -> Choice | None:
    """Return the engine that runs a prompt read elsewhere with the least delay.

    Load pattern: prompts whose shared parts come back. They are run where these parts
    were run before, so that this engine can pass them on, or read such a prompt itself.
    """
    home = find_home(prompt.first_part, candidates)

    def cost_s(item: Candidate) -> float:
        delay_s = item.pace * (_running_s(item) + item.prompt_tokens / rate)
        return delay_s - _keeping_gain_s(prompt, item, home, rate)

    return _cheapest(candidates, zone, cost_s)


def place_direct(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copies: Sequence[Candidate] = (),
) -> Choice | None:
    """Return the engine that both reads and runs a prompt with the least delay.

    Load pattern: short prompts, which would wait behind long ones at the engines that
    read prompts.
    """
    direct_rate = rate / DIRECT_SLOWDOWN

    def cost_s(item: Candidate) -> float:
        tokens = tokens_to_read(prompt, item, copies)
        reading_s = (item.prompt_tokens + tokens) / direct_rate
        return item.pace * (reading_s + _running_s(item))

    return _cheapest(candidates, zone, cost_s)


def plan_stages(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    fleet: FleetPace,
    zone: str,
    pause_s: float | None,
) -> StagePlan:
    """Decide whether a prompt is read apart, by which way gives the first event first.

    Load pattern: the mix swings from short to long prompts within seconds. Each stage
    takes prompts while it is the less busy one. ``pause_s`` is the longest pause that
    the streams of an engine bear: what it reads itself must fit into one.
    """
    prefills = [item for item in candidates if item.upstream.stage is Stage.PREFILL]
    decodes = [item for item in candidates if can_run(item)]
    copies = holders_of(candidates)
    direct = place_direct(decodes, prompt, fleet.rate, zone, copies)
    apart = place_prefill(prefills, prompt, fleet.rate, zone, copies)
    if direct is None:
        return StagePlan(None, None)
    direct = _with_source(direct, prompt, candidates)
    if apart is None:
        return StagePlan(None, direct)
    apart = _with_source(apart, prompt, candidates)
    direct_read_s = DIRECT_SLOWDOWN * direct.tokens / fleet.rate
    direct_s = direct.cost_s + waiting_s(direct_read_s, fleet.busy_decode)
    apart_s = apart.cost_s + MOVE_COST_S
    apart_s += waiting_s(apart.tokens / fleet.rate, fleet.busy_prefill)
    waiting_tokens = direct.candidate.prompt_tokens + direct.tokens
    if direct_s < apart_s and _fits_pause(waiting_tokens, fleet.rate, pause_s):
        return StagePlan(None, direct)
    return StagePlan(apart, direct)


def waiting_s(reading_s: float, busy: float) -> float:
    """Return the expected wait for work at an engine that is busy for a share of time.

    The mean wait of a queue with one server, for work of like sizes.
    """
    return reading_s * busy / (1 - busy)


def _fits_pause(tokens: float, rate: float, pause_s: float | None) -> bool:
    if pause_s is None:
        return True
    return tokens * DIRECT_SLOWDOWN / rate <= READING_SHARE_OF_PAUSE * pause_s


def _with_source(
    choice: Choice, prompt: Prompt, candidates: Sequence[Candidate]
) -> Choice:
    """Name an engine to copy the shared parts from, where the chosen one lacks them.

    One that may hold them is asked as well: where it doesn't, nothing is lost.
    """
    copies = holders_of(candidates)
    tokens = int(tokens_to_read(prompt, choice.candidate, copies))
    choice = replace(choice, tokens=tokens)
    if choice.candidate.holds_shared:
        return choice
    sources = [
        item
        for item in candidates
        if item.holding in (Holding.HELD, Holding.MAYBE)
        and not item.suspended
        and item is not choice.candidate
    ]
    if not sources:
        return choice
    zone = choice.candidate.upstream.zone
    source = min(
        sources,
        key=lambda item: (-item.holding, item.upstream.zone != zone, item.requests),
    )
    return replace(choice, fetch_from=source.upstream)


def _running_s(item: Candidate) -> float:
    """Return the delay that the batch of an engine adds; steep where it is full."""
    free = item.upstream.slots - item.requests
    crowded_s = FULL_COST_S if free <= item.upstream.slots * CROWDED_SHARE else 0.0
    return BATCHED_REQUEST_COST_S * item.requests + crowded_s


def tokens_to_read(
    prompt: Prompt, item: Candidate, copies: Sequence[Candidate]
) -> float:
    """Return how many tokens an engine is expected to read for a prompt."""
    if item.holds_shared:
        return prompt.own_tokens
    if copies:
        return prompt.own_tokens + COPIED_SHARE * prompt.shared_tokens
    return prompt.input_tokens


def _keeping_gain_s(
    prompt: Prompt, item: Candidate, home: str | None, rate: float
) -> float:
    """Return what it is worth that the shared parts are kept on few engines."""
    share = HOLDER_GAIN_SHARE if item.holds_shared else 0.0
    if item.upstream.upstream_id == home:
        share += HOME_GAIN_SHARE
    return share * prompt.shared_tokens / rate


def find_home(part_id: str, candidates: Iterable[Candidate]) -> str | None:
    """Return the upstream that all entries expect to hold a shared prompt part.

    Rendezvous hashing: where an upstream leaves, only its own parts move.
    """
    if not part_id:
        return None

    def rank(item: Candidate) -> bytes:
        name = f"{part_id}@{item.upstream.upstream_id}"
        return hashlib.blake2b(name.encode(), digest_size=8).digest()

    usable = [item for item in candidates if not item.suspended]
    best = max(usable, key=rank, default=None)
    return best.upstream.upstream_id if best else None


def _cheapest(candidates, zone: str, cost_s) -> Choice | None:
    choices = [
        Choice(item, cost_s(item) + _handicap_s(item, zone)) for item in candidates
    ]
    return min(
        choices,
        key=lambda choice: (choice.candidate.suspended, choice.cost_s),
        default=None,
    )


def _handicap_s(item: Candidate, zone: str) -> float:
    cost_s = FAILURE_COST_S * item.failure_share**2
    if item.full:
        cost_s += FULL_COST_S
    if item.upstream.zone != zone:
        cost_s += OTHER_ZONE_COST_S
    if item.upstream.cold_left_s > 0:
        cost_s *= COLD_FACTOR
    return cost_s
