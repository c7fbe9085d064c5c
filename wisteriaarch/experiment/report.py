"""Report of the experiment: result table and verdicts."""

from collections import defaultdict

from .outcome import Ending, PatternResult, percentiles_ms
from .targets import check_targets

HEADER = (
    *("site", "pattern", "policy", "goodput", "spread", "with_returns", "late"),
    *("refused", "failed", "back_ok", "ttft50", "ttft95", "ttft99", "tbt50"),
    *("tbt95", "tbt99", "roles", "cache"),
)


def print_report(results: list[PatternResult], duration_s: float) -> None:
    """Print one row per site, pattern and policy over all seeds, then the verdicts."""
    rows = [_row(*item) for item in _group_results(results).items()]
    print("| " + " | ".join(HEADER) + " |")
    print("|" + "---|" * len(HEADER))
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print()
    for verdict in check_targets(results):
        print(verdict)
    print(f"\n{len(results)} pattern runs in {duration_s:.0f} s")


def _group_results(results) -> dict[tuple, list[PatternResult]]:
    groups = defaultdict(list)
    for result in results:
        groups[result.site, result.pattern, result.policy].append(result)
    return dict(sorted(groups.items(), key=lambda item: item[0][:2]))


def mean(values) -> float:
    """Return the mean, or zero if there are no values."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def _row(key: tuple, results: list[PatternResult]) -> list[str]:
    goodputs = [result.goodput for result in results]
    outcomes = [outcome for result in results for outcome in result.outcomes]
    first_token_times_s = [
        o.first_token_s for o in outcomes if o.first_token_s is not None
    ]
    token_intervals_s = [interval for o in outcomes for interval in o.intervals_s]
    offered = max(1, len(outcomes))
    endings = [
        sum(o.ending is ending for o in outcomes) / offered
        for ending in (Ending.OVERDUE, Ending.REFUSED, Ending.FAILED)
    ]
    retries = [retry for result in results for retry in result.retries_after_refusal]
    retries_on_time = sum(retry.ending is Ending.ON_TIME for retry in retries)
    prompt = sum(result.prompt_tokens for result in results)
    cached = sum(result.cached_tokens for result in results)
    return [
        *key,
        f"{mean(goodputs):.3f}",
        f"{max(goodputs) - min(goodputs):.3f}",
        f"{mean(r.goodput_with_retries for r in results):.3f}",
        *(f"{share:.3f}" for share in endings),
        f"{retries_on_time}/{len(retries)}",
        *(f"{value:.0f}" for value in percentiles_ms(first_token_times_s)),
        *(f"{value:.0f}" for value in percentiles_ms(token_intervals_s)),
        f"{mean(result.role_changes for result in results):.1f}",
        f"{cached / max(1, prompt):.2f}",
    ]
