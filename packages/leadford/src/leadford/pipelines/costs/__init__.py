"""Account for the cost of requests by stage, pipeline and workspace."""

from leadford.pipelines.costs._account import CostAccount, CostLine, StageCost

__all__ = ["CostAccount", "CostLine", "StageCost"]
