"""Command of the fault matrix; exits with 1 unless every cell is ok."""

import argparse
import sys

from wisteriaarch.steps import Step

from .faults import Fault
from .report import closing_lines, markdown_table
from .runner import CellResult, build_cells, run_cells

LANES = 3


def main() -> int:
    """Run the cells selected by the options and return the exit code."""
    options = _parse()
    cells = build_cells(options.seed, options.procedure, options.fault, options.pairs)
    results = run_cells(cells, options.seed, options.lanes, _print_result)
    print(f"seed {options.seed}")
    print("\n".join(closing_lines(results)))
    if options.markdown:
        print(markdown_table(results))
    return 0 if len(results) == len(cells) and all(r.ok for r in results) else 1


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="matrix", description=__doc__)
    procedures = sorted({step.procedure for step in Step})
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--procedure", choices=procedures)
    parser.add_argument("--fault", choices=list(Fault))
    parser.add_argument("--pairs", action="store_true", help="add pairs of faults")
    parser.add_argument("--lanes", type=int, default=LANES, help="cells at a time")
    parser.add_argument("--markdown", action="store_true", help="print a table")
    return parser.parse_args()


def _print_result(result: CellResult) -> None:
    print(result, flush=True)


if __name__ == "__main__":
    sys.exit(main())
