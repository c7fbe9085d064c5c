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
        "freshness",
        "lease",
        "loads",
        "membership",
        "neighbours",
        "poll_schedule",
        "cache_belief",
        "speeds",
        "stage_busyness",
        "stage_changes",
        "upstream_health",
        "upstream_loads",
        "upstream_view",
        "work",
        "address_choice",
        "member_list",
        "prefill_rate",
        "scheduler_choice",
        "watch_duty",
    ),
    "request": (
        "admission",
        "candidate",
        "candidate_finder",
        "claim_epochs",
        "claim_sweep",
        "claims",
        "crash_ledger",
        "crash_rows",
        "crashes",
        "duplicates",
        "forecast",
        "isolation",
        "journal",
        "outcomes",
        "owners",
        "patience",
        "placement",
        "planner",
        "prediction",
        "prefixes",
        "pressure",
        "probes",
        "promises",
        "quarantine",
        "reading_turn",
        "size_shares",
        "retry",
        "retry_share",
        "routing",
        "learner",
        "scheduler",
        "turn_queue",
        "runner",
        "scoring",
        "settlement",
        "shapes",
        "shared_reading",
        "stage_plan",
        "urgency",
    ),
    "version": (
        "capacity",
        "closures",
        "control",
        "engine_watch",
        "group_observer",
        "issuer",
        "order_window",
        "placement",
        "rest",
        "role_changes",
        "role_policy",
        "rollout",
        "rollout_plan",
        "stage_control",
        "stage_policy",
        "watcher",
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
