"""Sum service time and waste per stage, pipeline and workspace.

Written by an entry when an attempt ends; read for `show cost` and the metrics. It holds
endpoint time only, and knows nothing of prices.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

# Lines of an account; further workspaces are summed under `OVERFLOW_WORKSPACE`.
LINES_KEPT = 2000
OVERFLOW_WORKSPACE = "(others)"


class StageCost(Enum):
    """Say what the service time of an attempt bought."""

    USEFUL = "useful"
    RETRIED = "retried"
    WASTED = "wasted"


class CostLine:
    """Hold the sums of one stage of one pipeline for one workspace.

    Units: milliseconds of endpoint time.
    """

    def __init__(self) -> None:
        self.attempts_ = 0
        self.completed_ = 0
        self.service_ms_by_use_ = dict.fromkeys(StageCost, 0.0)


class CostKey(msgspec.Struct, frozen=True, order=True):
    """Name a line of the account."""

    stage: str
    pipeline: str
    workspace: str


class CostAccount:
    """Hold a bounded number of lines; the excess is summed over workspaces."""

    def __init__(self, *, lines_max: int = LINES_KEPT) -> None:
        self.lines_max = lines_max
        self.lines_by_key_: OrderedDict[CostKey, CostLine] = OrderedDict()

    def add(
        self,
        *,
        stage: str,
        pipeline: str,
        workspace: str,
        use: StageCost,
        service_ms: float,
    ) -> None:
        """Add the service time of one attempt."""
        line = self._line(CostKey(stage, pipeline, workspace))
        line.attempts_ += 1
        line.completed_ += use is StageCost.USEFUL
        line.service_ms_by_use_[use] += service_ms

    def _line(self, key: CostKey) -> CostLine:
        line = self.lines_by_key_.get(key)
        if line is not None:
            return line
        if len(self.lines_by_key_) >= self.lines_max:
            key = msgspec.structs.replace(key, workspace=OVERFLOW_WORKSPACE)
        return self.lines_by_key_.setdefault(key, CostLine())

    def totals_by_stage(self) -> dict[str, CostLine]:
        """Return the sums over pipelines and workspaces."""
        return self._sum_by("stage")

    def totals_by_pipeline(self) -> dict[str, CostLine]:
        """Return the sums over stages and workspaces."""
        return self._sum_by("pipeline")

    def totals_by_workspace(self) -> dict[str, CostLine]:
        """Return the sums over stages and pipelines."""
        return self._sum_by("workspace")

    def _sum_by(self, field: str) -> dict[str, CostLine]:
        totals: dict[str, CostLine] = {}
        for key, line in self.lines_by_key_.items():
            total = totals.setdefault(getattr(key, field), CostLine())
            total.attempts_ += line.attempts_
            total.completed_ += line.completed_
            for use, service_ms in line.service_ms_by_use_.items():
                total.service_ms_by_use_[use] += service_ms
        return totals
