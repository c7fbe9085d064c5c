"""Compares policies on replays: ``python -m extras.replay --help``.

With ``--set NAME=VALUE`` a constant of the decisions has another value in all modules
that use it, so that a policy is compared on the same loads.
"""

import argparse
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import mean, quantiles, stdev

import logbook

from .engines import EngineFault
from .fleet import FleetReplay, KindResult, ReplayResult
from .load import DEPLOYMENTS, draw_deployment

FAULT_FROM_S = 1012.0
FAULT_UNTIL_S = 1018.0
FAULTS = {
    "none": {},
    "slow": {"decode-3": EngineFault(FAULT_FROM_S, FAULT_UNTIL_S, slowdown=5.0)},
    "grey": {"decode-3": EngineFault(FAULT_FROM_S, FAULT_UNTIL_S, failed_share=0.4)},
}
DRAWN = "drawn"
BAR_WIDTH = 40


def main(args: list[str]) -> int:
    """Replay each deployment and seed and print what became of the requests."""
    options = _parser().parse_args(args)
    constants = dict(item.split("=", 1) for item in options.set)
    for name in options.deployments or (*DEPLOYMENTS, DRAWN):
        play = partial(_play, name, FAULTS[options.fault], constants)
        with ProcessPoolExecutor(options.jobs) as pool:
            results = list(pool.map(play, range(1, options.seeds + 1)))
        _print(name, results, options.timeline)
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m extras.replay")
    names = (*DEPLOYMENTS, DRAWN)
    parser.add_argument("deployments", nargs="*", help=f"of {names}; all where empty")
    parser.add_argument("--seeds", type=int, default=4, help="replays of each")
    parser.add_argument("--jobs", type=int, default=2, help="processes at a time")
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--timeline", action="store_true", help="draw the queue")
    parser.add_argument(
        "--set", action="append", default=[], metavar="NAME=VALUE", help="a constant"
    )
    return parser


def _play(
    name: str, faults: dict[str, EngineFault], constants: dict[str, str], seed: int
) -> ReplayResult:
    _set_constants(constants)
    rng = random.Random(f"deployment-{seed}")
    deployment = draw_deployment(rng) if name == DRAWN else DEPLOYMENTS[name]
    with logbook.NullHandler().applicationbound():
        return FleetReplay(deployment, seed, faults).run()


def _set_constants(constants: dict[str, str]) -> None:
    modules = [
        module
        for name, module in sys.modules.items()
        if name.startswith("wisteriaarch.")
    ]
    for name, value in constants.items():
        users = [module for module in modules if hasattr(module, name)]
        if not users:
            raise SystemExit(f"no module has a constant {name}")
        for module in users:
            setattr(module, name, type(getattr(module, name))(value))


def _print(name: str, results: list[ReplayResult], timeline: bool) -> None:
    worth = [item.worth for item in results]
    spread = stdev(worth) if len(worth) > 1 else 0.0
    tokens = sum(item.read_tokens.all for item in results)
    again = sum(item.read_tokens.again for item in results)
    print(
        f"{name}: worth {mean(worth):.3f} (spread {spread:.3f}), "
        f"read again {again / max(1, tokens):.2f} of {tokens / 1e6:.1f}M tokens, "
        f"rate {mean(item.rate for item in results):.0f} tokens/s"
    )
    for kind in results[0].kinds:
        _print_kind(kind, [item.kinds[kind] for item in results])
    if timeline:
        for at_s, queued in results[0].queued:
            print(f"  {at_s:5.1f} s {queued:5d} {'#' * min(BAR_WIDTH, queued)}")


def _print_kind(kind: str, results: list[KindResult]) -> None:
    asked = sum(item.asked for item in results)
    first_s = [value for item in results for value in item.first_event_s]
    refused_s = [value for item in results for value in item.refused_after_s]
    ends = " ".join(
        f"{end} {sum(item.ends[end] for item in results) / max(1, asked):.3f}"
        for end in ("in time", "late", "refused", "failed", "left")
    )
    print(
        f"  {kind:6s} {asked:6d} asked: {ends}; first event "
        f"{_shown(first_s)}, refused after {_shown(refused_s)}"
    )


def _shown(times_s: list[float]) -> str:
    if len(times_s) < 2:
        return "-"
    cuts = quantiles(times_s, n=20)
    return f"p50 {cuts[9]:.3f} p95 {cuts[18]:.3f} s"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
