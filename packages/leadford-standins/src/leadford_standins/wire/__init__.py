"""Stand in for the users' platform: its store and its three kinds of endpoint.

The stand-ins implement the platform's published protocol, record which requests ran,
and inject the faults that a test configures.
"""

from leadford_standins.wire._calm import run_without_faults
from leadford_standins.wire._default_config import HOST, KEY, default_config
from leadford_standins.wire._deployment import Deployment
from leadford_standins.wire._endpoints import PlainStandIn
from leadford_standins.wire._engines import EngineStandIn
from leadford_standins.wire._fleet import SimulatedEntry, SimulatedFleet
from leadford_standins.wire._handler import Arrival, Run
from leadford_standins.wire._misbehaviours import Misbehaviour
from leadford_standins.wire._scenarios import (
    event_ids,
    plan_misbehaviour,
    refuse_store_calls,
    run_scenario,
    runs_of,
)
from leadford_standins.wire._stages import StageStandIn
from leadford_standins.wire._store import StoreCopy, StoreFault, StoreStandIn

__all__ = [
    "HOST",
    "KEY",
    "Arrival",
    "Deployment",
    "EngineStandIn",
    "Misbehaviour",
    "PlainStandIn",
    "Run",
    "SimulatedEntry",
    "SimulatedFleet",
    "StageStandIn",
    "StoreCopy",
    "StoreFault",
    "StoreStandIn",
    "default_config",
    "event_ids",
    "plan_misbehaviour",
    "refuse_store_calls",
    "run_scenario",
    "run_without_faults",
    "runs_of",
]
