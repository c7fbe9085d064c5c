"""Loads of replays: deployments, named or drawn at random, and their arrivals."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from wisteriaarch.request.routed_call import Prompt, PromptBlock

from .engines import EngineCosts

ZONES = ("z1", "z2", "z3")
WAVE_S = 11.0
WAVE_SWING = 0.15


@dataclass(frozen=True)
class SharedPartSpec:
    """Blocks at one position of the prefix: mean tokens, and their number.

    Other parts take their places every ``renewed_s`` seconds; never where 0.
    """

    tokens: int
    parts: int
    renewed_s: float = 0.0


@dataclass(frozen=True)
class KindSpec:
    """Kind of request; times in seconds, ``worth`` within and after the objective."""

    name: str
    per_s: float
    own_tokens: int
    output_tokens: int
    chain: tuple[SharedPartSpec, ...]
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int = 0
    own_spread: float = 0.9


@dataclass(frozen=True)
class CustomerSpec:
    """Customer with its share of the requests, relative to those of others."""

    name: str
    weight: float = 1.0


@dataclass(frozen=True)
class Peak:
    """Period in which a kind of request arrives more often; all kinds if empty."""

    from_s: float
    until_s: float
    factor: float
    kind: str = ""


@dataclass(frozen=True)
class Deployment:
    """Engines and the load on them; ``seconds`` of arrivals.

    Without ``customers`` the configuration has none.
    """

    name: str
    prefills: int
    decodes: int
    costs: EngineCosts
    kinds: tuple[KindSpec, ...]
    peaks: tuple[Peak, ...]
    seconds: float = 30.0
    customers: tuple[CustomerSpec, ...] = ()


@dataclass(frozen=True)
class Arrival:
    """One caller's request, ``at_s`` after the start."""

    number: int
    at_s: float
    kind: KindSpec
    prompt: Prompt
    output_tokens: int
    zone: str
    customer: str = ""


DEEP_PREFIX = Deployment(
    "deep-prefix",
    2,
    4,
    EngineCosts(300_000.0, 6e6, 0.006, 0.0006, 2e-6, 48, 305_000),
    (
        KindSpec(
            "long",
            70.6,
            2_890,
            2,
            (SharedPartSpec(2_520, 4), SharedPartSpec(3_780, 1_176)),
            0.2,
            2.0,
            2.5,
            0.74,
        ),
        KindSpec("short", 9.4, 141, 89, (), 0.25, 15.0, 6.1, 1.8),
    ),
    (Peak(5.0, 8.0, 1.7), Peak(14.0, 24.0, 1.9, "short")),
)
ONE_PREFIX = Deployment(
    "one-prefix",
    4,
    5,
    EngineCosts(49_600.0, 1e6, 0.02, 0.005, 2e-5, 32, 442_000),
    (
        KindSpec(
            "long", 10.1, 3_720, 17, (SharedPartSpec(13_300, 138),), 0.6, 6.0, 12, 3.6
        ),
        KindSpec("short", 64.5, 291, 6, (), 0.3, 3.0, 1.5, 0.44),
    ),
    (Peak(5.0, 9.0, 1.7), Peak(14.0, 24.0, 2.2, "long")),
)
NEW_PREFIXES = Deployment(
    "new-prefixes",
    2,
    4,
    EngineCosts(50_000.0, 1e6, 0.02, 0.005, 2e-5, 32, 442_000),
    (
        KindSpec(
            "long", 17.0, 3_000, 10, (SharedPartSpec(12_000, 2, 2.0),), 0.8, 3.0, 5, 1.5
        ),
        KindSpec("short", 40.0, 200, 6, (), 0.3, 3.0, 1.5, 0.44),
    ),
    (Peak(8.0, 14.0, 1.5, "long"),),
)
DEPLOYMENTS = {item.name: item for item in (DEEP_PREFIX, ONE_PREFIX, NEW_PREFIXES)}


def draw_deployment(rng: random.Random) -> Deployment:
    """Return a deployment of similar load with random engines and sizes."""
    prefills, decodes = rng.randint(1, 5), rng.randint(2, 8)
    rate = math.exp(rng.uniform(math.log(10_000), math.log(400_000)))
    costs = EngineCosts(
        read_rate=rate,
        copy_rate=rate * rng.uniform(5, 30),
        first_event_s=rng.uniform(0.004, 0.02),
        step_s=rng.uniform(0.0005, 0.006),
        step_per_request_s=rng.uniform(1e-6, 3e-5),
        slots=rng.choice((8, 16, 32, 48)),
        cache_tokens=rng.randint(200_000, 600_000),
    )
    own, shared = rng.randint(1_500, 5_000), rng.randint(3_000, 14_000)
    chain = [SharedPartSpec(shared, rng.randint(40, 1_500))]
    if rng.random() < 0.5:
        chain.insert(0, SharedPartSpec(rng.randint(500, 3_000), rng.randint(2, 20)))
    # With all shared parts read anew the reading stage would be taken 1.2 times.
    tokens = own + sum(item.tokens for item in chain)
    per_s = 1.2 * prefills * rate / tokens
    aim_s = rng.uniform(0.2, 0.6) + 2 * tokens / rate
    kinds = (
        KindSpec("long", per_s, own, 10, tuple(chain), aim_s, 10 * aim_s, 5.0, 1.5),
        KindSpec("short", 2 * per_s, 200, 20, (), 0.3, 3.0, 1.5, 0.4),
    )
    return Deployment("drawn", prefills, decodes, costs, kinds, (Peak(6, 12, 1.6),))


def arrivals(deployment: Deployment, rng: random.Random) -> Iterator[Arrival]:
    """Yield the requests of a replay, in the order of their times."""
    total = sum(kind.per_s for kind in deployment.kinds)
    highest = (1 + WAVE_SWING) * math.prod(
        max(1.0, item.factor) for item in deployment.peaks
    )
    at_s, number = 0.0, 0
    while True:
        at_s += rng.expovariate(total * highest)
        if at_s >= deployment.seconds:
            return
        weights = [kind.per_s for kind in deployment.kinds]
        kind = rng.choices(deployment.kinds, weights)[0]
        if rng.random() < _factor(deployment, kind, at_s) / highest:
            number += 1
            arrival = _arrival(number, at_s, kind, rng)
            if not deployment.customers:
                yield arrival
                continue
            shares = [item.weight for item in deployment.customers]
            customer = rng.choices(deployment.customers, shares)[0]
            yield replace(arrival, customer=customer.name)


def _factor(deployment: Deployment, kind: KindSpec, at_s: float) -> float:
    factor = 1 + WAVE_SWING * math.sin(2 * math.pi * at_s / WAVE_S)
    for peak in deployment.peaks:
        if peak.from_s <= at_s < peak.until_s and peak.kind in ("", kind.name):
            factor *= peak.factor
    return factor


def _arrival(number: int, at_s: float, kind: KindSpec, rng: random.Random) -> Arrival:
    parts = [
        _shared_part(place, spec, at_s, rng) for place, spec in enumerate(kind.chain)
    ]
    own = max(16, int(_spread(kind.own_tokens, kind.own_spread, rng)))
    parts.append(PromptBlock(f"own-{number}", own))
    prompt = Prompt(
        sum(part.tokens for part in parts), 4 * kind.output_tokens, tuple(parts)
    )
    output = max(1, int(_spread(kind.output_tokens, 0.8, rng)))
    return Arrival(number, at_s, kind, prompt, output, rng.choice(ZONES))


def _shared_part(
    place: int, spec: SharedPartSpec, at_s: float, rng: random.Random
) -> PromptBlock:
    chosen = int(spec.parts * rng.random() ** 1.3)
    if spec.renewed_s:
        chosen += spec.parts * int(at_s / spec.renewed_s)
    # The size of a part is drawn from its name, so that it is always the same.
    size = _spread(spec.tokens, 0.5, random.Random(f"{place}-{chosen}"))
    return PromptBlock(f"part-{place}-{chosen}", int(size))


def _spread(mean: float, sigma: float, rng: random.Random) -> float:
    return min(6 * mean, rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma))
