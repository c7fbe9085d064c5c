"""Prints how much of the package is decision logic, by lines that are not blank.

Decision logic is what chooses: routing, admission, retries, leases, orders, placement,
roles, claims, quarantine, membership, freshness. Transport, models of documents, the
command line, the stand-ins and the experiment are not.
"""

from pathlib import Path

PACKAGE = Path("wisteriaarch")
DECISION_MODULES = {
    "process": (
        "demand",
        "staleness",
        "lease",
        "load_monitor",
        "membership",
        "neighbours",
        "poll_schedule",
        "prefix_cache_index",
        "request_limits",
        "engine_speeds",
        "stage_utilization",
        "stage_changes",
        "upstream_health",
        "upstream_loads",
        "upstream_view",
        "sent_request",
        "address_choice",
        "member_list",
        "prefill_rate",
        "scheduler_choice",
        "watcher_election",
    ),
    "request": (
        "admission",
        "candidate",
        "candidate_finder",
        "claim_epochs",
        "claim_sweep",
        "claims",
        "crash_history",
        "crash_rows",
        "crash_probe",
        "duplicates",
        "forecast",
        "isolation",
        "claim_journal",
        "attempt_failures",
        "owner_probe",
        "attempt_timeouts",
        "placement",
        "planner",
        "length_prediction",
        "prefix_assignments",
        "decaying_peak",
        "admission_probes",
        "own_shares",
        "request_limiter",
        "retry_reservations",
        "quarantine",
        "prefill_dispatch",
        "size_fairness",
        "retry",
        "shared_retry_budget",
        "routing",
        "estimate_updater",
        "scheduler",
        "prefill_queue",
        "request_runner",
        "scoring",
        "outcome_writer",
        "shapes",
        "shared_prefill",
        "stage_plan",
        "urgency",
    ),
    "version": (
        "capacity",
        "closures",
        "control",
        "engine_monitor",
        "group_observer",
        "order_issuer",
        "order_window",
        "placement",
        "poll_backoff",
        "role_changes",
        "role_policy",
        "group_controller",
        "rollout_plan",
        "stage_controller",
        "stage_policy",
        "manifest_watcher",
    ),
}


def count_lines(path: Path) -> int:
    """Return the lines of a module that are not blank."""
    return sum(bool(line.strip()) for line in path.read_text().splitlines())


def main() -> None:
    """Print the share of the package, and of the package without stand-ins."""
    modules = {
        path.relative_to(PACKAGE).with_suffix("").as_posix(): count_lines(path)
        for path in PACKAGE.rglob("*.py")
    }
    decisions = sum(
        modules[f"{package}/{name}"]
        for package, names in DECISION_MODULES.items()
        for name in names
    )
    trial = sum(
        lines
        for name, lines in modules.items()
        if name.startswith(("emulator/", "experiment/"))
    )
    total = sum(modules.values())
    print(f"decision logic: {decisions} of {total} lines, {100 * decisions // total}%")
    served = total - trial
    print(f"without stand-ins and experiment: {100 * decisions // served}%")


if __name__ == "__main__":
    main()
