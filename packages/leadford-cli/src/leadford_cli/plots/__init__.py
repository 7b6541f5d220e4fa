"""Draw replay reports."""

from leadford_cli.plots._report import draw_report

__all__ = ["draw_report"]
