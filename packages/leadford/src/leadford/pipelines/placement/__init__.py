"""Decide which models and versions are loaded on which engine."""

from leadford.pipelines.placement._lease import PlanningLease, PlanRecord, decode_plan
from leadford.pipelines.placement._orders import OrderDesk, OrderKind, OrderStep
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
    "OrderDesk",
    "OrderKind",
    "OrderStep",
    "Plan",
    "PlacementPlanner",
    "PlanRecord",
    "PlanningLease",
    "decode_plan",
    "plan_differences",
]
