"""Shows how many modules and lines the two faces of the product share.

``python -m extras.shared_modules`` follows the imports of ``entry.py`` (own interface)
and ``gateway.py`` (platforms), without running either.
"""

import ast
import sys
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "wisteriaarch"
FACES = ("entry", "gateway")


def main() -> int:
    """Print modules and lines of each face alone and of both."""
    own, platform = (_reached(PACKAGE / f"{name}.py") for name in FACES)
    parts = (
        ("own interface alone", own - platform),
        ("platforms alone", platform - own),
        ("both", own & platform),
    )
    all_lines = sum(map(_lines, own | platform))
    for name, modules in parts:
        lines = sum(map(_lines, modules))
        print(f"{name}: {len(modules)} modules, {lines} lines, {lines / all_lines:.0%}")
    return 0


def _reached(start: Path) -> set[Path]:
    reached, waiting = set(), [start]
    while waiting:
        path = waiting.pop()
        if path in reached:
            continue
        reached.add(path)
        waiting.extend(_imported(path))
    return reached


def _imported(path: Path) -> list[Path]:
    """Return the modules of the package that a module imports."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = path.parents[node.level - 1]
        if node.module:
            base = base.joinpath(*node.module.split("."))
        candidates = [base.with_suffix(".py")]
        candidates += [base / f"{item.name}.py" for item in node.names]
        found += [item for item in candidates if item.is_file()]
    return found


def _lines(path: Path) -> int:
    return len(path.read_text(encoding="utf-8").splitlines())


if __name__ == "__main__":
    sys.exit(main())
