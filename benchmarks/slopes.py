"""``make slopes``: measures the slopes of all roles at three or more sizes.

Each measuring module prints JSON. They run one after the other, so that none disturbs
another, and their figures are written to one file for ``tools/capacity.py``. A run
takes about 3 minutes.
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
RESULT_FILE = ROOT / "results" / "slopes.json"
_TIMEOUT_SECONDS = 100.0

console = Console(width=110)


def run_module(arguments: Sequence[str]) -> Any:
    """Run a measuring module and return the JSON that it prints.

    The JSON is the whole output, or its last line if the output does not start with
    an object in several lines.

    Args:
        arguments: Name of the module and its arguments.
    """
    command = [sys.executable, "-m", *arguments]
    completed = subprocess.run(
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        check=True,
    )
    output = completed.stdout.strip()
    return json.loads(output if output.startswith("{\n") else output.split("\n")[-1])


def _flatten(name: str, value: Any) -> Mapping[str, str]:
    """Return the figures of a nested value as text by their dotted path."""
    if isinstance(value, Mapping):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)  # type: ignore[assignment]
    else:
        shown = f"{value:.4g}" if isinstance(value, float) else str(value)
        return {name: shown}
    rows: dict[str, str] = {}
    for key, inner in items:
        rows.update(_flatten(f"{name}.{key}", inner))
    return rows


def main() -> int:
    """Run all measurements, print the table and write the file."""
    figures: dict[str, Any] = {}
    for name, arguments in MODULES.items():
        started_at = time.monotonic()
        figures[name] = run_module(arguments)
        console.print(f"{name}: measured in {time.monotonic() - started_at:.0f} s")
    table = Table("figure", "value")
    for name, value in figures.items():
        for path, shown in _flatten(name, value).items():
            table.add_row(path, shown)
    console.print(table)
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    console.print(f"Written to {RESULT_FILE.relative_to(ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
