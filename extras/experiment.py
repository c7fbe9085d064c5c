"""Measures the policy against baselines with real entries and stand-in engines.

Each run starts the processes of one site with one policy and replays every pattern in
turn; a pattern starts when the one before it has ended for all callers.
"""

import argparse
import contextlib
import http.client
import sys
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass, replace

import curio

from extras.cluster import Cluster
from wisteriaarch.experiment.load import LoadGenerator
from wisteriaarch.experiment.outcome import PatternResult
from wisteriaarch.experiment.patterns import (
    PATTERNS,
    WARM_UP,
    Fault,
    Pattern,
    generate_arrivals,
)
from wisteriaarch.experiment.report import print_report
from wisteriaarch.experiment.sites import (
    ENGINE_COSTS,
    MODEL_VERSION,
    REPORT_LAG_S,
    SITES,
    Site,
)
from wisteriaarch.experiment.targets import BASELINES
from wisteriaarch.wire import Address

STALE_LAG_S = 2.5
SETTLE_S = 0.8
PARTS = (
    "admission",
    "shares",
    "affinity",
    "correction",
    "urgency",
    "length",
    "shapes",
    "roles",
)
SPLIT_POLICIES = ("static_split", "reactive")
FROM_SPLIT = " from split"
QUICK_PATTERNS = ("steady", "swing", "prefix")
ENTRY_SETTINGS = {
    "load_poll_every_s": 0.2,
    "heartbeat_every_s": 0.2,
    "freshness_bound_s": 2.0,
    "log": {"form": "json", "level": "warning"},
}


@dataclass(frozen=True)
class RunPlan:
    """One run: a site with a policy, of which parts may be off, and a seed."""

    site: str
    policy: str
    seed: int
    patterns: tuple[str, ...]
    log_level: str = "warning"

    @property
    def starts_split(self) -> bool:
        """Whether engines start in the site's roles instead of all mixed."""
        return self.policy in SPLIT_POLICIES or self.policy.endswith(FROM_SPLIT)

    def settings(self) -> dict:
        """Return the settings of the entries."""
        name, _, part = self.policy.removesuffix(FROM_SPLIT).partition(" without ")
        settings = {**ENTRY_SETTINGS, "policy": name, "seed": None}
        settings["log"] = {"form": "json", "level": self.log_level}
        if name == "ponder":
            settings |= {"policy": "predicted", "length_predictor": "ponder"}
        if part:
            settings["policy_off"] = [part]
        return settings


@dataclass(frozen=True)
class EngineTotals:
    """Counters of one engine; tokens count from the start of an incarnation."""

    incarnation: int
    role_changes: int
    cached_tokens: int
    prompt_tokens: int

    def since(self, before: "EngineTotals") -> "EngineTotals":
        """Return the growth; what an engine did before a crash is not known."""
        changes = self.role_changes - before.role_changes
        if self.incarnation != before.incarnation:
            return replace(self, role_changes=changes)
        return EngineTotals(
            self.incarnation,
            changes,
            self.cached_tokens - before.cached_tokens,
            self.prompt_tokens - before.prompt_tokens,
        )


class SiteRun:
    """Processes of one run; replays patterns and injects their faults."""

    def __init__(self, cluster: Cluster, plan: RunPlan):
        self.cluster = cluster
        self.plan = plan
        self.site: Site = SITES[plan.site]

    def start(self) -> None:
        """Start all processes and put the manifest in force."""
        self.cluster.start_platform()
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(self._start_engine, range(self.site.engine_count)))
            list(pool.map(self._start_entry, range(len(self.site.zones))))
        done = self.cluster.apply(self.site.manifest())
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)
        time.sleep(SETTLE_S)

    def _start_engine(self, index: int) -> None:
        role = "mixed"
        if self.plan.starts_split:
            role = "prefill" if index < self.site.static_prefill_engines else "decode"
        self.cluster.start_engine(
            self.site.engine_names[index],
            zone=self.site.zones[index % len(self.site.zones)],
            models=[f"{model}@{MODEL_VERSION}" for model in self.site.models],
            costs=ENGINE_COSTS,
            report_lag_s=REPORT_LAG_S,
            role=role,
        )

    def _start_entry(self, index: int) -> None:
        self.cluster.start_entry(
            f"entry-{index + 1}", zone=self.site.zones[index], **self.plan.settings()
        )

    def replay(self, pattern: Pattern) -> PatternResult:
        """Replay one pattern and return what came of it."""
        before = self._engine_totals()
        fault = threading.Timer(pattern.fault_at_s, self._inject, [pattern.fault])
        fault.start()
        outcomes = curio.run(self._replay, pattern)
        fault.join()
        time.sleep(SETTLE_S)
        self._undo(pattern.fault)
        totals = self._engine_totals()
        grown = [totals[name].since(before[name]) for name in totals]
        return PatternResult(
            site=self.site.name,
            policy=self.plan.policy,
            pattern=pattern.name,
            seed=self.plan.seed,
            outcomes=outcomes,
            role_changes=sum(item.role_changes for item in grown),
            prompt_tokens=sum(item.prompt_tokens for item in grown),
            cached_tokens=sum(item.cached_tokens for item in grown),
        )

    async def _replay(self, pattern: Pattern):
        entries = [
            Address.parse(process.address)
            for name, process in self.cluster.processes.items()
            if name.startswith("entry")
        ]
        generator = LoadGenerator(self.site, entries, self.plan.seed)
        try:
            return await generator.replay(
                generate_arrivals(self.site, pattern, self.plan.seed)
            )
        finally:
            await generator.close()

    def _engine_totals(self) -> dict[str, EngineTotals]:
        return {name: self._totals_of(name) for name in self.site.engine_names}

    def _totals_of(self, name: str) -> EngineTotals:
        engine = self.cluster.processes[name]
        orders = engine.request("GET", "/journal").json()["orders"]
        report = engine.request("GET", "/load").json()
        return EngineTotals(
            report["incarnation"],
            sum(order["action"] == "role" for order in orders),
            report["cached_tokens"],
            report["cached_tokens"] + report["prefilled_tokens"],
        )

    @property
    def _victim(self):
        return self.cluster.processes[self.site.engine_names[-1]]

    def _inject(self, fault: Fault) -> None:
        if fault is Fault.CRASH_ENGINE:
            self._crash()
        elif fault is Fault.DRAIN_ENGINE:
            self._list_victim(leaving=True)
        elif fault is Fault.STALE_REPORTS:
            self._set_lag(STALE_LAG_S)
        elif fault is Fault.KILL_ENTRY:
            self.cluster.processes["entry-1"].popen.kill()

    def _undo(self, fault: Fault) -> None:
        if fault is Fault.DRAIN_ENGINE:
            self._list_victim(leaving=False)
        elif fault is Fault.STALE_REPORTS:
            self._set_lag(REPORT_LAG_S)

    def _set_lag(self, lag_s: float) -> None:
        for name in self.site.engine_names:
            engine = self.cluster.processes[name]
            engine.request("POST", "/report-lag", {"lag_s": lag_s})

    def _list_victim(self, *, leaving: bool) -> None:
        index = self.site.engine_count - 1
        zone = self.site.zones[index % len(self.site.zones)]
        victim = self._victim
        self.cluster.register(
            victim.name, "engine", victim.address, zone, leaving=leaving
        )

    def _crash(self) -> None:
        victim = self._victim
        with contextlib.suppress(OSError, http.client.HTTPException):
            victim.request("POST", "/crash")


def run_plan(plan: RunPlan) -> list[PatternResult]:
    """Run every pattern of a plan."""
    with Cluster() as cluster:
        run = SiteRun(cluster, plan)
        run.start()
        run.replay(WARM_UP)
        chosen = [pattern for pattern in PATTERNS if pattern.name in plan.patterns]
        return [run.replay(pattern) for pattern in chosen]


def main() -> int:
    """Run the experiment and print its tables."""
    options = _parse_options()
    plans = _plans(options)
    started_at = time.monotonic()
    results = []
    with ProcessPoolExecutor(options.parallel) as pool:
        for done, found in enumerate(pool.map(run_plan, plans), start=1):
            results += found
            print(f"run {done} of {len(plans)}", file=sys.stderr)
    print_report(results, time.monotonic() - started_at)
    return 0


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="few patterns, one seed")
    parser.add_argument("--parts", action="store_true", help="switch each part off")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--parallel", type=int, default=6, help="runs at a time")
    parser.add_argument("--site", action="append", choices=sorted(SITES))
    parser.add_argument(
        "--policy",
        action="append",
        help="such as 'predicted', 'predicted without roles' or, with the engines "
        "starting in the roles of static_split, 'predicted from split'",
    )
    parser.add_argument("--pattern", action="append")
    return parser.parse_args()


def _plans(options) -> list[RunPlan]:
    patterns = options.pattern or [pattern.name for pattern in PATTERNS]
    policies = options.policy or ["predicted", *BASELINES]
    if options.parts:
        policies = ["predicted", *(f"predicted without {part}" for part in PARTS)]
        policies.append("ponder")
    seeds = options.seeds
    if options.quick:
        patterns = options.pattern or QUICK_PATTERNS
        seeds = 1
    return [
        RunPlan(site, policy, seed, tuple(patterns))
        for seed in range(1, seeds + 1)
        for site in options.site or SITES
        for policy in policies
    ]


if __name__ == "__main__":
    sys.exit(main())
