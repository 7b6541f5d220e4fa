"""Decide which models and versions are loaded on which engine."""

from leadford.pipelines.placement._lease import PlanningLease, PlanRecord, decode_plan
from leadford.pipelines.placement._orders import OrderKind, OrderSequence, OrderStep
from leadford.pipelines.placement._planner import (
    EngineView,
    ModelCopy,
    PlacementPlanner,
    Plan,
    plan_differences,
)

__all__ = [
    "EngineView",
    "ModelCopy",
    "OrderSequence",
    "OrderKind",
    "OrderStep",
    "Plan",
    "PlacementPlanner",
    "PlanRecord",
    "PlanningLease",
    "decode_plan",
    "plan_differences",
]
