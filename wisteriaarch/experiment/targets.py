"""Targets for the policy, checked against the results of one experiment."""

from dataclasses import dataclass

from .outcome import PatternResult
from .patterns import PATTERNS

POLICY = "predicted"
BASELINES = ("random", "least_load", "static_split", "reactive")
SWING_GOODPUT_RATIOS = {"static_split": 1.25, "least_load": 1.15}
ROLE_CHANGE_TARGET_SITE = "serrano"
ROLE_CHANGE_RATIO_MAX = 1 / 3


@dataclass(frozen=True)
class Verdict:
    """Whether a target was met, with the figures behind the verdict."""

    target: str
    met: bool
    figures: str

    def __str__(self) -> str:
        return f"{'met   ' if self.met else 'MISSED'} {self.target}: {self.figures}"


class Scores:
    """Aggregates over the seeds by site, pattern and policy."""

    def __init__(self, results: list[PatternResult]):
        self._results = results
        self.sites = sorted({result.site for result in results})
        self.patterns = [
            pattern
            for pattern in PATTERNS
            if any(result.pattern == pattern.name for result in results)
        ]
        self.baselines = [
            name for name in BASELINES if any(r.policy == name for r in results)
        ]

    def _metric_values(self, site, pattern, policy, metric) -> list[float]:
        return [
            getattr(result, metric)
            for result in self._results
            if (result.site, result.pattern, result.policy) == (site, pattern, policy)
        ]

    def goodput(self, site: str, pattern: str, policy: str) -> float:
        """Return the mean goodput."""
        values = self._metric_values(site, pattern, policy, "goodput")
        return sum(values) / max(1, len(values))

    def spread(self, site: str, pattern: str, policy: str) -> float:
        """Return the difference between the highest and the lowest goodput."""
        values = self._metric_values(site, pattern, policy, "goodput")
        return max(values, default=0.0) - min(values, default=0.0)

    def role_changes(self, site: str, pattern: str, policy: str) -> float:
        """Return the total number of role changes over all seeds."""
        return sum(self._metric_values(site, pattern, policy, "role_changes"))


def check_targets(results: list[PatternResult]) -> list[Verdict]:
    """Return a verdict on each target that the results cover."""
    scores = Scores(results)
    if not scores.baselines:
        return []
    verdicts = []
    for site in scores.sites:
        verdicts += _check_best_baseline(scores, site)
        verdicts += _check_swing_ratios(scores, site)
        verdicts += _check_steady(scores, site)
    if ROLE_CHANGE_TARGET_SITE in scores.sites and "reactive" in scores.baselines:
        verdicts += _check_role_changes(scores, ROLE_CHANGE_TARGET_SITE)
    return verdicts


def _check_best_baseline(scores: Scores, site: str) -> list[Verdict]:
    verdicts = []
    for pattern in scores.patterns:
        policy_goodput = scores.goodput(site, pattern.name, POLICY)
        baseline_goodput, name = max(
            (scores.goodput(site, pattern.name, name), name)
            for name in scores.baselines
        )
        target = f"{site} {pattern.name}: goodput of the best baseline"
        verdicts.append(
            Verdict(
                target,
                policy_goodput >= baseline_goodput,
                f"{policy_goodput:.3f}; {name} {baseline_goodput:.3f}",
            )
        )
    return verdicts


def _check_swing_ratios(scores: Scores, site: str) -> list[Verdict]:
    verdicts = []
    for pattern in scores.patterns:
        for name, ratio_min in SWING_GOODPUT_RATIOS.items():
            if not pattern.is_swing or name not in scores.baselines:
                continue
            baseline_goodput = scores.goodput(site, pattern.name, name)
            ratio = scores.goodput(site, pattern.name, POLICY) / max(
                baseline_goodput, 1e-9
            )
            target = f"{site} {pattern.name}: {ratio_min} x {name}"
            verdicts.append(Verdict(target, ratio >= ratio_min, f"{ratio:.2f} x"))
    return verdicts


def _check_steady(scores: Scores, site: str) -> list[Verdict]:
    if all(pattern.name != "steady" for pattern in scores.patterns):
        return []
    changes = scores.role_changes(site, "steady", POLICY)
    policy_goodput = scores.goodput(site, "steady", POLICY)
    baseline_lead = (
        max(scores.goodput(site, "steady", n) for n in scores.baselines)
        - policy_goodput
    )
    names = (POLICY, *scores.baselines)
    spread = max(scores.spread(site, "steady", name) for name in names)
    return [
        Verdict(f"{site} steady: no role change", changes == 0, f"{changes:.0f}"),
        Verdict(
            f"{site} steady: no baseline ahead by more than the spread",
            baseline_lead <= spread,
            f"{max(0.0, baseline_lead):.3f}; spread {spread:.3f}",
        ),
    ]


def _check_role_changes(scores: Scores, site: str) -> list[Verdict]:
    names = [pattern.name for pattern in scores.patterns]
    policy_changes = sum(scores.role_changes(site, name, POLICY) for name in names)
    reactive_changes = sum(
        scores.role_changes(site, name, "reactive") for name in names
    )
    policy_goodput = sum(scores.goodput(site, name, POLICY) for name in names)
    reactive_goodput = sum(scores.goodput(site, name, "reactive") for name in names)
    met = (
        policy_changes <= reactive_changes * ROLE_CHANGE_RATIO_MAX
        and policy_goodput >= reactive_goodput
    )
    count = max(1, len(names))
    figures = (
        f"{policy_changes:.0f} changes at goodput {policy_goodput / count:.3f}; "
        f"reactive {reactive_changes:.0f} at {reactive_goodput / count:.3f}"
    )
    return [Verdict(f"{site}: a third of reactive's role changes", met, figures)]
