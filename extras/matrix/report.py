"""Summary of a run, as text or as a Markdown table for docs/GUARANTEES.md."""

from collections import defaultdict

from wisteriaarch.steps import Step

from .faults import Fault
from .runner import CellResult

MARKS = {True: "ok", False: "**violation**"}


def closing_lines(results: list[CellResult]) -> list[str]:
    """Return one line for each procedure, and one with the total."""
    counts: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for result in results:
        row = counts[result.cell.step.procedure]
        row[0 if result.ok else 1 if result.reached else 2] += 1
    lines = [
        f"{name}: {ok} ok, {violated} violations, {unreached} not reached"
        for name, (ok, violated, unreached) in counts.items()
    ]
    ok, violated, unreached = (sum(row[i] for row in counts.values()) for i in range(3))
    lines.append(f"matrix: {ok} ok, {violated} violations, {unreached} not reached")
    return lines


def markdown_table(results: list[CellResult]) -> str:
    """Return a table with a row for each step and a column for each fault.

    Pairs of faults follow in a second table.
    """
    singles = {
        (result.cell.step, result.cell.faults[0]): result
        for result in results
        if len(result.cell.faults) == 1
    }
    faults = [fault for fault in Fault if any(key[1] is fault for key in singles)]
    lines = ["| step | " + " | ".join(faults) + " |"]
    lines.append("|---" * (len(faults) + 1) + "|")
    for step in Step:
        marks = [_mark(singles.get((step, fault))) for fault in faults]
        if any(marks):
            lines.append(f"| {step.value} | " + " | ".join(marks) + " |")
    pairs = [result for result in results if len(result.cell.faults) > 1]
    if pairs:
        lines += ["", "| pair | result |", "|---|---|"]
        lines += [f"| {result.cell} | {_mark(result)} |" for result in pairs]
    return "\n".join(lines)


def _mark(result: CellResult | None) -> str:
    if result is None:
        return ""
    return MARKS[result.ok] if result.reached else "not reached"
