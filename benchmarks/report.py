"""Writes the bench's Markdown report and its plots."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from benchmarks.measure import (
    gap_over_time,
    service_gap,
    starved_customers,
    utilisation_while_backlogged,
)
from benchmarks.scenario import Run

_FIGURE_INCHES = (11, 9)


def plot_run(run: Run, bound: float, file: Path) -> None:
    """Plot service, gap and busy slots over the phases of a run.

    Args:
        run: The run.
        bound: Bound on the gap in cost units per unit of share, for the title.
        file: The image file to write.
    """
    figure, axes = pyplot.subplots(3, 1, figsize=_FIGURE_INCHES, sharex=True)
    start = run.samples[0].at_seconds
    times = [sample.at_seconds - start for sample in run.samples]
    for customer in run.customers:
        service = [s.service.get(customer.name, 0.0) for s in run.samples]
        normalised = [(one - service[0]) / customer.share for one in service]
        width = 2.0 if customer.branch == "large" else 0.8
        axes[0].plot(times, normalised, linewidth=width, label=customer.name)
    axes[0].set_ylabel("cost units / share")
    axes[0].legend(fontsize=5, ncol=2, loc="upper left")
    for span in run.unpartitioned_spans():
        span_times = [sample.at_seconds - start for sample in span]
        axes[1].plot(span_times, gap_over_time(span, run.shares), color="tab:red")
    axes[1].set_ylabel("gap, cost units / share")
    _plot_utilisation(run, axes[2], times)
    for name, at in run.phase_starts:
        for axis in axes:
            axis.axvline(at - start, color="grey", linewidth=0.6)
        axes[0].text(at - start, axes[0].get_ylim()[1], name, fontsize=7)
    axes[2].set_xlabel("seconds")
    figure.suptitle(f"{run.shape.name}, {run.variant}; bound on the gap {bound:.0f}")
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)


def _plot_utilisation(run: Run, axis: Any, times: Sequence[float]) -> None:
    """Plot the busy fraction of the slots, averaged over four samples (one second)."""
    step = 4
    busy = [sample.busy_slot_seconds for sample in run.samples]
    values = [
        (busy[i + step] - busy[i])
        / max(1e-9, times[i + step] - times[i])
        / max(1, run.samples[i].capacity_slots)
        for i in range(0, len(busy) - step)
    ]
    axis.plot(times[step:], values, color="tab:green")
    axis.set_ylim(0, 1.05)
    axis.set_ylabel("busy slots")


def phase_rows(run: Run) -> Sequence[Mapping[str, Any]]:
    """Return the figures of each phase."""
    rows = []
    for phase in run.phases:
        samples = run.phase_samples(phase.name)
        gap = service_gap(samples, run.shares)
        rows.append(
            {
                "phase": phase.name,
                "gap_max": gap.maximum,
                "pair": "/".join(gap.pair),
                "utilisation": utilisation_while_backlogged(samples),
                "starved": ", ".join(starved_customers(samples)),
                "control_bytes": run.control.get(phase.name, {}).get("bytes", 0.0),
                "control_cpu": run.control.get(phase.name, {}).get("cpu", 0.0),
            }
        )
    return rows


def write_report(
    folder: Path,
    figures: Mapping[str, Mapping[str, Mapping[str, Any]]],
    phases: Mapping[str, Mapping[str, Sequence[Mapping[str, Any]]]],
    notes: Sequence[str],
) -> Path:
    """Write the Markdown report.

    Args:
        folder: The folder that also holds the plots.
        figures: Values by deployment, variant and name of the figure.
        phases: Rows of `phase_rows` by deployment and variant.
        notes: Lines at the head of the report, which describe the run.

    Returns:
        The path of the report.
    """
    lines = ["# Bench", "", *notes, ""]
    for deployment, variants in figures.items():
        lines += [f"## {deployment}", ""]
        names = list(variants)
        lines += ["| figure | " + " | ".join(names) + " |"]
        lines += ["| --- |" + " --- |" * len(names)]
        for figure in next(iter(variants.values())):
            cells = [_format_figure(variants[name].get(figure)) for name in names]
            lines.append(f"| `{figure}` | " + " | ".join(cells) + " |")
        lines += ["", *_verdicts(variants), ""]
        for name in names:
            lines += [f"### {deployment}, {name}, by phase", ""]
            lines += _phase_table(phases[deployment][name])
            lines += ["", f"![{name}]({deployment}-{name}.png)", ""]
    file = folder / "bench.md"
    file.write_text("\n".join(lines), encoding="utf-8")
    return file


def _phase_table(rows: Sequence[Mapping[str, Any]]) -> Sequence[str]:
    """Return the lines of the Markdown table of all phases."""
    columns = list(rows[0])
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    lines += [
        "| " + " | ".join(_format_figure(r[c]) for c in columns) + " |" for r in rows
    ]
    return lines


def _verdicts(variants: Mapping[str, Mapping[str, Any]]) -> Sequence[str]:
    """Return a line for each target value, with whether the figures meet it."""
    leased = variants.get("sesameford", {})
    baseline = variants.get("independent", {})
    checks: list[tuple[str, float | None, float | None, bool]] = [
        (
            "gap_max at most gap_bound",
            leased.get("gap_max"),
            leased.get("gap_bound"),
            True,
        ),
        (
            "gap_max at most a fifth of the baseline's",
            leased.get("gap_max"),
            baseline["gap_max"] / 5 if baseline else None,
            True,
        ),
        ("no starved customer", leased.get("starved_customers"), 0, True),
        (
            "utilisation at least 0.97",
            leased.get("utilisation_while_backlogged"),
            0.97,
            False,
        ),
        (
            "utilisation no lower than the baseline's",
            leased.get("utilisation_while_backlogged"),
            baseline.get("utilisation_while_backlogged"),
            False,
        ),
        (
            "control at most 2,048 bytes/s an instance",
            leased.get("control_bytes_per_instance_second"),
            2048,
            True,
        ),
        (
            "control at most 1.3% of a core",
            leased.get("control_cpu_fraction"),
            0.013,
            True,
        ),
        (
            "first token at most 10 ms later",
            leased.get("first_token_added_p95_seconds"),
            0.010,
            True,
        ),
        ("nothing lost", leased.get("lost"), 0, True),
        ("nothing doubled", leased.get("doubled"), 0, True),
        ("nothing crossed", leased.get("crossed"), 0, True),
    ]
    return [_verdict(*check) for check in checks]


def _verdict(name: str, value: float | None, limit: float | None, at_most: bool) -> str:
    """Return the line for one target value.

    Args:
        name: What is checked.
        value: The measured figure, or None.
        limit: The target value, or None.
        at_most: Whether the limit is the highest good value rather than the lowest.
    """
    if value is None or limit is None:
        return f"- {name}: NOT MEASURED"
    holds = value <= limit if at_most else value >= limit
    word = "holds" if holds else "MISSED"
    return f"- {name}: {word} ({_format_figure(value)}, limit {_format_figure(limit)})"


def _format_figure(value: Any) -> str:
    """Return a figure as text for a table."""
    if value is None:
        return "not measured"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
