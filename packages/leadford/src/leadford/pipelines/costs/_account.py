"""Sum service time by use per stage, pipeline and workspace.

An entry adds to it when an attempt ends; `show cost` and the metrics read it. It counts
endpoint time only, not prices.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

# Number of lines above which new workspaces are summed under `OVERFLOW_WORKSPACE`.
LINES_MAX = 2000
OVERFLOW_WORKSPACE = "(others)"


class StageCost(Enum):
    """Name the use of the service time of an attempt."""

    USEFUL = "useful"
    RETRIED = "retried"
    WASTED = "wasted"


class CostLine:
    """Hold the totals of one stage of one pipeline for one workspace.

    Units: milliseconds of endpoint time.
    """

    def __init__(self) -> None:
        self.attempts_ = 0
        self.completed_ = 0
        self.service_ms_by_use_ = dict.fromkeys(StageCost, 0.0)


class CostKey(msgspec.Struct, frozen=True, order=True):
    """Identify a line of the account."""

    stage: str
    pipeline: str
    workspace: str


class CostAccount:
    """Hold a bounded number of lines; new workspaces beyond it share a line."""

    def __init__(self, *, lines_max: int = LINES_MAX) -> None:
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
        """Return the totals of each stage over pipelines and workspaces."""
        return self._sum_by("stage")

    def totals_by_pipeline(self) -> dict[str, CostLine]:
        """Return the totals of each pipeline over stages and workspaces."""
        return self._sum_by("pipeline")

    def totals_by_workspace(self) -> dict[str, CostLine]:
        """Return the totals of each workspace over stages and pipelines."""
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
