"""Account for what requests cost, by stage, kind and workspace."""

from leadford.pipelines.costs._account import CostAccount, CostLine, StageCost

__all__ = ["CostAccount", "CostLine", "StageCost"]
