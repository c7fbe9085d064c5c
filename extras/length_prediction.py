"""Compares predictors of output length on the experiment's arrivals, without a fleet.

Each answer's length is predicted at its arrival and learned once it has ended.
"""

import heapq
import sys
from dataclasses import dataclass
from functools import partial

from wisteriaarch.experiment.patterns import PATTERNS, Arrival, generate_arrivals
from wisteriaarch.experiment.sites import SITES, Site
from wisteriaarch.request.length_prediction import (
    LengthPredictor,
    LimitPredictor,
    PercentilePredictor,
    PonderPredictor,
)

ANSWER_S = 1.5
SEEDS = (1, 2, 3)
PREDICTORS = {
    "limit": LimitPredictor,
    "percentile": partial(PercentilePredictor, by_size=False),
    "percentile by shape": PercentilePredictor,
    "ponder": PonderPredictor,
    "ponder by shape": partial(PonderPredictor, by_size=True),
}


@dataclass(frozen=True)
class Named:
    """Thing of which only the name matters here."""

    name: str


@dataclass
class ArrivedCall:
    """What predictors read of a call."""

    caller: Named
    model: Named
    prompt_tokens: int
    max_tokens: int


def errors_of(predictor: LengthPredictor, site: Site, pattern, seed: int) -> list[int]:
    """Return predicted less true output tokens of each arrival."""
    errors = []
    running: list[tuple[float, int, ArrivedCall, int]] = []
    for index, arrival in enumerate(generate_arrivals(site, pattern, seed)):
        while running and running[0][0] <= arrival.at_s:
            _, _, call, tokens = heapq.heappop(running)
            predictor.observe(call, tokens)
        call = _call_of(site, arrival)
        errors.append(predictor.predict(call) - arrival.output_tokens)
        ends_at_s = arrival.at_s + ANSWER_S
        heapq.heappush(running, (ends_at_s, index, call, arrival.output_tokens))
    return errors


def _call_of(site: Site, arrival: Arrival) -> ArrivedCall:
    model = site.classes[arrival.class_name].model
    return ArrivedCall(
        Named(arrival.caller),
        Named(model),
        arrival.prompt_tokens,
        arrival.max_output_tokens,
    )


def main() -> int:
    """Print mean absolute error, mean error and share predicted too short."""
    print("| site | predictor | mean abs error | mean error | too short |")
    print("|---|---|---|---|---|")
    for site in SITES.values():
        for name, predictor in PREDICTORS.items():
            errors = [
                error
                for seed in SEEDS
                for pattern in PATTERNS
                for error in errors_of(predictor(), site, pattern, seed)
            ]
            count = len(errors)
            absolute = sum(abs(error) for error in errors) / count
            short = sum(error < 0 for error in errors) / count
            mean = sum(errors) / count
            print(
                f"| {site.name} | {name} | {absolute:.1f} | {mean:+.1f} | {short:.2f} |"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
