"""``make bench``: measures two deployments under two schedulers through all phases.

One process for each deployment runs its variants one after the other; the two
deployments run at the same time on the same machine. A quick run has one process for
each variant too. The last line printed is one JSON object.
"""

import asyncio
import json
import os
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from benchmarks.report import phase_rows, plot_run, write_report
from benchmarks.scenario import bound_of, figures_of, run_variant
from tools.load import Phase, mean_tokens
from tools.shapes import CONSORTIUM, DESK, ROOT, Shape

VARIANTS = ("sesameford", "independent")
DEPLOYMENTS = {shape.name: shape for shape in (DESK, CONSORTIUM)}
BENCH_TOKENS_PER_SECOND = 100.0
RESULTS = ROOT / "results"

FULL_PHASES = (
    Phase("steady", 25.0, 1.4),
    Phase("flood", 18.0, 1.2, flood="small1"),
    Phase("churn", 18.0, 1.4, churn=True),
    Phase("restart", 14.0, 1.4),
    Phase("cut", 12.0, 1.4, is_network_whole=False),
    Phase("healed", 14.0, 1.4),
)
QUICK_PHASES = (
    Phase("steady", 5.0, 1.5),
    Phase("flood", 3.0, 1.2, flood="small1"),
    Phase("churn", 3.0, 1.5, churn=True),
    Phase("restart", 4.0, 1.5),
    Phase("cut", 3.0, 1.5, is_network_whole=False),
    Phase("healed", 3.0, 1.5),
)
FULL_CALM_SECONDS = 8.0
QUICK_CALM_SECONDS = 3.0


def bench_shape(name: str) -> Shape:
    """Return a deployment with the bench's token rate of an engine."""
    return replace(DEPLOYMENTS[name], tokens_per_second=BENCH_TOKENS_PER_SECOND)


async def _run_child(options: Namespace) -> None:
    """Run some variants of one deployment and write their results and plots."""
    shape = bench_shape(options.deployment)
    phases = QUICK_PHASES if options.quick else FULL_PHASES
    calm_seconds = QUICK_CALM_SECONDS if options.quick else FULL_CALM_SECONDS
    for variant in options.variants.split(","):
        with TemporaryDirectory(prefix="sesameford-bench-") as folder:
            run_folder = Path(folder) / "run"
            run = await run_variant(shape, variant, phases, calm_seconds, run_folder)
            for member_id, code in run.exit_codes.items():
                if code:
                    log = run_folder / f"{member_id}.log"
                    (options.results / log.name).write_bytes(log.read_bytes())
            bound = bound_of(shape)
            result = {
                "figures": figures_of(run, bound),
                "phases": phase_rows(run),
                "first_token": run.first_token_percentiles,
                "outcomes": run.mistakes.outcomes if run.mistakes else {},
                "exit_codes": {k: v for k, v in run.exit_codes.items() if v},
            }
            name = f"{shape.name}-{variant}"
            plot_run(run, bound, options.results / f"{name}.png")
            (options.results / f"{name}.json").write_text(json.dumps(result))


async def _run_parent(options: Namespace) -> dict[str, Any]:
    """Start the measuring processes and return their results.

    There is one process for each deployment, and in a quick run for each variant too.

    Returns:
        The results by deployment and variant.

    Raises:
        SystemExit: A process failed.
    """
    groups = [",".join(VARIANTS)] if not options.quick else list(VARIANTS)
    processes = []
    for deployment in DEPLOYMENTS:
        for group in groups:
            command = [sys.executable, "-m", "benchmarks.bench"]
            command += ["--deployment", deployment, "--variants", group]
            command += ["--results", str(options.results)]
            command += ["--quick"] if options.quick else []
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=os.environ | {"PYTHONPATH": str(ROOT)}
            )
            processes.append(process)
    codes = await asyncio.gather(*(process.wait() for process in processes))
    if any(codes):
        raise SystemExit(f"a run failed: exit codes {codes}")
    return {
        deployment: {
            variant: json.loads(
                (options.results / f"{deployment}-{variant}.json").read_text()
            )
            for variant in VARIANTS
        }
        for deployment in DEPLOYMENTS
    }


def _notes(options: Namespace) -> Sequence[str]:
    """Return the paragraphs at the head of the report, which describe the run."""
    phases = QUICK_PHASES if options.quick else FULL_PHASES
    return [
        f"{'Quick' if options.quick else 'Full'} run: "
        + ", ".join(f"{phase.name} {phase.seconds:g} s" for phase in phases)
        + ". Real daemons and stand-ins on loopback, open load of"
        f" {mean_tokens():.0f} output tokens in the mean, engines of 8 slots at"
        f" {BENCH_TOKENS_PER_SECOND:g} tokens/s each.",
        "",
        "Service is what the stand-in engines counted. Their events come one a token,"
        " in bursts of 50 ms, to spare processor time. A gap is in cost units per"
        " unit of share; figures over the whole run leave out the phase `cut`. Control"
        " bytes are counted once, at their sender, with the headers of nng, TCP and"
        " IP and the acknowledging segment; a network card sees about twice as many,"
        " both directions together.",
        "",
        "`gap_bound` is `sesameford/gap_bound.py` at the largest cost that the load"
        " asks for, since a request's cost is known only at its end. The baseline"
        " has no bound; its column repeats the figure.",
    ]


def main() -> int:
    """Run the bench and print its figures as JSON on the last line."""
    parser = ArgumentParser(description="Measure fairness, use and control.")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS))
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--results", type=Path)
    options = parser.parse_args()
    # A quick run shows only whether things work; it does not replace the report.
    options.results = options.results or (RESULTS / "tmp" if options.quick else RESULTS)
    options.results.mkdir(parents=True, exist_ok=True)
    if options.deployment:
        asyncio.run(_run_child(options))
        return 0
    results = asyncio.run(_run_parent(options))
    figures = {
        deployment: {name: result["figures"] for name, result in variants.items()}
        for deployment, variants in results.items()
    }
    phases = {
        deployment: {name: result["phases"] for name, result in variants.items()}
        for deployment, variants in results.items()
    }
    report = write_report(options.results, figures, phases, _notes(options))
    print(f"Report: {report.relative_to(ROOT)}")
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
