"""Seeded arrival patterns."""

import random
from dataclasses import dataclass
from enum import StrEnum

from .sites import Site

SHARED_PREFIXES = 10
SHARED_PREFIX_FRACTION = 0.8
TOKEN_LIMIT_FACTOR = 2.5
SIZE_SIGMA = 0.35


class Fault(StrEnum):
    """Fault that is injected at a pattern's fault time."""

    NONE = "none"
    CRASH_ENGINE = "crash_engine"
    DRAIN_ENGINE = "drain_engine"
    STALE_REPORTS = "stale_reports"
    KILL_ENTRY = "kill_entry"


@dataclass(frozen=True)
class Phase:
    """Period with one request mix; ``load`` is relative to the fleet's capacity.

    The capacity is that of a fleet with all engines in the mixed role.
    """

    duration_s: float
    load: float
    mix: str = "base"


@dataclass(frozen=True)
class Pattern:
    """Consecutive phases, with at most one fault.

    ``is_swing`` marks patterns in which the mix shifts between prompts and output.
    """

    name: str
    phases: tuple[Phase, ...]
    fault: Fault = Fault.NONE
    fault_at_s: float = 0.0
    has_shared_prefixes: bool = False
    is_swing: bool = False

    @property
    def duration_s(self) -> float:
        """Return the time during which requests arrive."""
        return sum(phase.duration_s for phase in self.phases)


WARM_UP = Pattern("warm_up", (Phase(3.0, 0.5),))
PATTERNS = (
    Pattern("steady", (Phase(6.0, 0.7),)),
    Pattern("swing", (Phase(2.0, 0.8), Phase(14.0, 1.2, "prompt")), is_swing=True),
    Pattern(
        "swing_back",
        (Phase(12.0, 1.2, "prompt"), Phase(12.0, 1.2, "output")),
        is_swing=True,
    ),
    Pattern("burst", (Phase(2.0, 0.6), Phase(1.5, 2.2), Phase(2.5, 0.6))),
    Pattern("prefix", (Phase(6.0, 1.1),), has_shared_prefixes=True),
    Pattern("stale", (Phase(6.0, 0.9),), fault=Fault.STALE_REPORTS, fault_at_s=0.0),
    Pattern("crash", (Phase(6.0, 0.9),), fault=Fault.CRASH_ENGINE, fault_at_s=2.0),
    Pattern("drain", (Phase(6.0, 0.9),), fault=Fault.DRAIN_ENGINE, fault_at_s=2.0),
    Pattern("entry_killed", (Phase(6.0, 0.7),), fault=Fault.KILL_ENTRY, fault_at_s=2.0),
)


@dataclass(frozen=True)
class Arrival:
    """One request to send; sizes in tokens, ``at_s`` since the pattern's start."""

    at_s: float
    class_name: str
    caller: str
    prompt_tokens: int
    output_tokens: int
    max_output_tokens: int
    text_seed: int
    prefix_number: int | None = None


def generate_arrivals(site: Site, pattern: Pattern, seed: int) -> list[Arrival]:
    """Return the arrivals of a pattern; the same seed gives the same arrivals."""
    generator = random.Random(f"{site.name}/{pattern.name}/{seed}")
    result = []
    start_s = 0.0
    for phase in pattern.phases:
        for name, share in site.mixes[phase.mix].items():
            request_class = site.classes[name]
            rate = phase.load * site.engine_count * share / request_class.engine_time_s
            at_s = start_s
            while rate:
                at_s += generator.expovariate(rate)
                if at_s >= start_s + phase.duration_s:
                    break
                result.append(_make_arrival(generator, request_class, at_s, pattern))
        start_s += phase.duration_s
    return sorted(result, key=lambda arrival: arrival.at_s)


def _make_arrival(generator, request_class, at_s: float, pattern: Pattern) -> Arrival:
    factor = generator.lognormvariate(0, SIZE_SIGMA)
    prompt = max(16, int(request_class.prompt_tokens * factor))
    if not request_class.output_correlated:
        factor = generator.lognormvariate(0, SIZE_SIGMA)
    noise = generator.uniform(0.9, 1.1)
    limit = int(request_class.output_tokens * TOKEN_LIMIT_FACTOR)
    output = min(limit, max(2, round(request_class.output_tokens * factor * noise)))
    return Arrival(
        at_s=at_s,
        class_name=request_class.name,
        caller=generator.choice(request_class.callers),
        prompt_tokens=prompt,
        output_tokens=output,
        max_output_tokens=limit,
        text_seed=generator.getrandbits(48),
        prefix_number=_choose_prefix(generator)
        if pattern.has_shared_prefixes
        else None,
    )


def _choose_prefix(generator: random.Random) -> int:
    return int(SHARED_PREFIXES * generator.random() ** 2)


def prompt_text(arrival: Arrival, request_class) -> str:
    """Return the prompt, with four characters per token.

    The marker at its end gives the engine emulator the length of the answer. Entries
    don't read it.
    """
    marker = f"<stop-after:{arrival.output_tokens}>"
    prefix = ""
    if arrival.prefix_number is not None:
        size = int(request_class.prompt_tokens * SHARED_PREFIX_FRACTION) * 4
        prefix = _random_text(
            random.Random(f"{request_class.name}/{arrival.prefix_number}"), size
        )
    rest = max(16, arrival.prompt_tokens * 4 - len(prefix))
    return prefix + _random_text(random.Random(arrival.text_seed), rest) + marker


def _random_text(generator: random.Random, chars: int) -> str:
    return generator.randbytes((chars + 1) // 2).hex()[:chars]
