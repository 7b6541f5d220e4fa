"""Draw attainment, what was refused, and cost of a replay, with faults marked.

Reads the report that `leadford replay` wrote.
"""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402


def draw_report(report: dict[str, Any], file: Path) -> None:
    """Write a picture of a report."""
    figure, (course, costs) = pyplot.subplots(
        2, 1, figsize=(9, 7), height_ratios=(2, 1), layout="constrained"
    )
    _draw_course(course, report)
    _draw_costs(costs, report)
    figure.suptitle(f"{report['trace']}, seed {report['seed']}")
    figure.savefig(file, dpi=110)
    pyplot.close(figure)


def _draw_course(axes: Any, report: dict[str, Any]) -> None:
    timeline = report["timeline"]
    seconds = [line["at_s"] for line in timeline]
    for name, colour in (
        ("in_time", "tab:green"),
        ("late", "tab:orange"),
        ("not_run", "tab:blue"),
        ("unknown", "tab:red"),
    ):
        values = [line[name] for line in timeline]
        axes.plot(seconds, values, label=name.replace("_", " "), color=colour)
    for fault in report["faults"]:
        axes.axvline(fault["at_s"], color="black", linestyle=":")
        text = f"{fault['action']} {fault['target']}"
        axes.annotate(text, (fault["at_s"], axes.get_ylim()[1]), rotation=90, va="top")
    axes.set_xlabel("second of the trace")
    axes.set_ylabel("requests a second")
    axes.legend()


def _draw_costs(axes: Any, report: dict[str, Any]) -> None:
    costs = report["cost_by_stage"]
    axes.bar(list(costs), [line["cost"] for line in costs.values()])
    axes.set_ylabel("cost")
