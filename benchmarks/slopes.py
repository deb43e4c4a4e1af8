"""``make slopes``: the slopes of all roles at three or more sizes, in 3 minutes.

Each module prints JSON for itself; here they run one after the other, so that none
disturbs another, and their figures go to one file for ``tools/capacity.py``.
"""

import json
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

from tools.shapes import ROOT

MODULES = {
    "router": ("benchmarks.router_slopes", "--output", "json"),
    "tree": ("benchmarks.tree_bench", "--output", "json"),
    "fairness": ("benchmarks.fairness_slopes",),
    "log": ("benchmarks.log_bench", "--parts", "slopes"),
}
RESULT = ROOT / "results" / "slopes.json"
_TIMEOUT_SECONDS = 100.0

console = Console(width=110)


def run_module(arguments: Sequence[str]) -> Any:
    """Return what a module's measurement printed, all of it or its last line."""
    command = [sys.executable, "-m", *arguments]
    done = subprocess.run(
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        check=True,
    )
    printed = done.stdout.strip()
    return json.loads(printed if printed.startswith("{\n") else printed.split("\n")[-1])


def _rows(name: str, value: Any) -> Mapping[str, str]:
    """Return the figures of a module by their path."""
    if isinstance(value, Mapping):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)  # type: ignore[assignment]
    else:
        shown = f"{value:.4g}" if isinstance(value, float) else str(value)
        return {name: shown}
    rows: dict[str, str] = {}
    for key, inner in items:
        rows.update(_rows(f"{name}.{key}", inner))
    return rows


def main() -> int:
    """Run all measurements, print the table and write the file."""
    figures: dict[str, Any] = {}
    for name, arguments in MODULES.items():
        begin = time.monotonic()
        figures[name] = run_module(arguments)
        console.print(f"{name}: measured in {time.monotonic() - begin:.0f} s")
    table = Table("figure", "value")
    for name, value in figures.items():
        for path, shown in _rows(name, value).items():
            table.add_row(path, shown)
    console.print(table)
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    console.print(f"Written to {RESULT.relative_to(ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
