"""Whether a prompt is read apart from where it runs, and from whom parts are copied."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..process.cache_belief import Holding
from ..process.takeover_time import START_S
from ..process.upstreams import Stage
from .candidate import Candidate, Choice, can_run, tokens_to_copy, tokens_to_read
from .placement import DIRECT_SLOWDOWN, place_direct, place_prefill
from .routed_call import Prompt

READING_SHARE_OF_PAUSE = 0.65


@dataclass(frozen=True)
class FleetPace:
    """Speed at which engines read prompts (tokens a second) and how busy stages are.

    ``queued_s`` is how long a prompt waits for its turn at the reading stage, and
    ``takeover_s`` how long it takes from there to its first event elsewhere.
    """

    rate: float
    busy_prefill: float = 0.0
    busy_decode: float = 0.0
    queued_s: float = 0.0
    takeover_s: float = START_S


@dataclass(frozen=True)
class StagePlan:
    """Whether a prompt is read apart, and the prediction behind it.

    With ``prefill`` set it is; otherwise ``decode`` reads it itself. Without any engine
    that runs prompts both are None: nothing is read in vain.
    """

    prefill: Choice | None
    decode: Choice | None


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
    copyable = tokens_to_copy(candidates, prompt)
    direct = place_direct(decodes, prompt, fleet.rate, zone, copyable)
    apart = place_prefill(prefills, prompt, fleet.rate, zone, copyable)
    if direct is None:
        return StagePlan(None, None)
    direct = _with_source(direct, prompt, candidates, copyable)
    if apart is None:
        return StagePlan(None, direct)
    apart = _with_source(apart, prompt, candidates, copyable)
    direct_read_s = DIRECT_SLOWDOWN * direct.tokens / fleet.rate
    direct_s = direct.cost_s + waiting_s(direct_read_s, fleet.busy_decode)
    apart_s = apart.cost_s + fleet.takeover_s + fleet.queued_s
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
    choice: Choice, prompt: Prompt, candidates: Sequence[Candidate], copyable: int
) -> Choice:
    """Name an engine to copy the shared parts from, where the chosen one lacks them.

    One that may hold them is asked as well: where it doesn't, nothing is lost.
    """
    tokens = int(tokens_to_read(prompt, choice.candidate, copyable))
    choice = replace(choice, tokens=tokens)
    if choice.candidate.holds_shared:
        return choice
    held = choice.candidate.tokens_held(prompt)
    sources = [
        item
        for item in candidates
        if (item.tokens_held(prompt) > held or item.holding is Holding.MAYBE)
        and not item.suspended
        and item is not choice.candidate
    ]
    if not sources:
        return choice
    zone = choice.candidate.upstream.zone
    source = min(
        sources,
        key=lambda item: (
            -item.tokens_held(prompt),
            item.upstream.zone != zone,
            item.requests,
        ),
    )
    return replace(choice, fetch_from=source.upstream)
