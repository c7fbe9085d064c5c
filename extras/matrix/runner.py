"""Builds the cells of the matrix and runs them in parallel lanes."""

import itertools
import queue
import random
import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPException

from wisteriaarch.steps import Step

from .bench import Bench
from .control import Drain, LeaseChange, OrderIssue
from .faults import Fault, Injector
from .layout import SPLIT_ROLES, TWO_GROUPS, Layout
from .poison import Poison
from .procedure import Procedure
from .publication import Publication
from .roles import RoleChange
from .stop import Stop
from .traffic import Claim, PlainRequest, Stream

REACH_TIMEOUT_S = 12.0
ACT_TIMEOUT_S = 60.0
MAX_INJECTIONS = 3
PAIRS_PER_STEP = 6
PAIRED_PROCEDURES = ("lease", "order", "claim")

PROCEDURES: dict[str, type[Procedure]] = {
    item.name: item
    for item in (LeaseChange, OrderIssue, RoleChange, Publication)
    + (Drain, Claim, PlainRequest, Stream, Poison, Stop)
}


@dataclass(frozen=True)
class Cell:
    """Cell of the matrix: the faults injected at one step."""

    step: Step
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return f"{self.step.value} {'+'.join(self.faults)}"


@dataclass
class CellResult:
    """Result of a cell; ``seen`` lists violations, or why the step was not reached."""

    cell: Cell
    reached: bool
    findings: list[str] = field(default_factory=list)
    duration_s: float = 0.0

    @property
    def ok(self) -> bool:
        """Whether the step was reached and no violation was found."""
        return self.reached and not self.findings

    def __str__(self) -> str:
        verdict = "ok" if self.ok else "VIOLATION" if self.reached else "NOT REACHED"
        seen = "; ".join(self.findings)
        return f"{self.cell!s:<44} {verdict:<11} {self.duration_s:5.1f} s  {seen}"


def build_cells(
    seed: int, procedure: str | None, fault: str | None, pairs: bool
) -> list[Cell]:
    """Return a cell for every fault at every step.

    ``procedure`` and ``fault`` restrict the cells unless None; ``pairs`` adds pairs of
    faults, chosen by ``seed``.
    """
    steps = [step for step in Step if procedure in (None, step.procedure)]
    cells = [
        Cell(step, (item,)) for step in steps for item in Fault if fault in (None, item)
    ]
    if pairs:
        for step in steps:
            if step.procedure in PAIRED_PROCEDURES:
                cells += _choose_pairs(seed, step)
    return cells


def _choose_pairs(seed: int, step: Step) -> list[Cell]:
    pairs = list(itertools.combinations_with_replacement(Fault, 2))
    chosen = random.Random(f"{seed} {step}").sample(pairs, PAIRS_PER_STEP)
    return [Cell(step, pair) for pair in chosen]


def run_cells(
    cells: list[Cell], seed: int, lanes: int, report: Callable[[CellResult], None]
) -> list[CellResult]:
    """Run the cells, ``lanes`` at a time; each lane has its own processes."""
    results: list[CellResult] = []

    def note(result: CellResult) -> None:
        results.append(result)
        report(result)

    for layout in (TWO_GROUPS, SPLIT_ROLES):
        remaining: queue.SimpleQueue[Cell] = queue.SimpleQueue()
        for cell in cells:
            if _driver(cell).layout is layout:
                remaining.put(cell)
        _run_lanes(layout, remaining, seed, lanes, note)
        while not remaining.empty():
            note(
                CellResult(remaining.get(), reached=False, findings=["no lane started"])
            )
    return sorted(results, key=lambda result: cells.index(result.cell))


def _driver(cell: Cell) -> type[Procedure]:
    return PROCEDURES[cell.step.procedure]


def _run_lanes(
    layout, remaining: queue.SimpleQueue, seed: int, lanes: int, record
) -> None:
    threads = [
        threading.Thread(target=_run_lane, args=(layout, remaining, seed, record))
        for _ in range(min(lanes, remaining.qsize()))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _run_lane(layout: Layout, remaining: queue.SimpleQueue, seed: int, record) -> None:
    while not remaining.empty():
        with Bench(layout) as bench:
            if not _is_usable(bench):
                return
            usable = True
            while usable:
                try:
                    cell = remaining.get_nowait()
                except queue.Empty:
                    return
                result = run_cell(bench, cell, seed)
                record(result)
                usable = result.ok and _is_usable(bench)


def _is_usable(bench: Bench) -> bool:
    try:
        bench.wait_ready()
    except TimeoutError:
        return False
    return True


def run_cell(bench: Bench, cell: Cell, seed: int) -> CellResult:
    """Run one cell and clear its faults."""
    result = CellResult(cell, reached=False)
    started_at = time.monotonic()
    rng = random.Random(f"{seed} {cell}")
    injector = Injector(bench, cell.step, list(cell.faults), rng)
    procedure = _driver(cell)(bench, list(cell.faults), rng)
    try:
        _inject_all(procedure, injector)
        result.reached = not injector.pending
        procedure.settle()
        procedure.check()
    except TimeoutError as exc:
        result.findings.append(f"not completed after healing: {exc}")
    except (OSError, HTTPException, ValueError, KeyError):
        result.findings.append(f"driver failed: {traceback.format_exc(limit=-2)}")
    finally:
        procedure.close()
    result.findings += procedure.violations + bench.take_violations()
    result.duration_s = time.monotonic() - started_at
    return result


def _inject_all(procedure: Procedure, injector: Injector) -> None:
    for _ in range(MAX_INJECTIONS):
        if not injector.pending:
            return
        injector.arm()
        acting = threading.Thread(target=_act, args=(procedure,))
        acting.start()
        if injector.wait_injected(REACH_TIMEOUT_S):
            injector.wait_fault_duration()
        injector.heal()
        acting.join(ACT_TIMEOUT_S)
        if acting.is_alive():
            raise TimeoutError(f"the procedure did not end in {ACT_TIMEOUT_S:g} s")


def _act(procedure: Procedure) -> None:
    try:
        procedure.act()
    except (OSError, HTTPException, ValueError, KeyError):
        procedure.violations.append(f"driver failed: {traceback.format_exc(limit=-2)}")
