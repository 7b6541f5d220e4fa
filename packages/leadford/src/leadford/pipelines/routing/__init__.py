"""Choose the endpoint on which an attempt runs."""

from leadford.pipelines.routing._base import (
    ClassWait,
    EndpointView,
    LoadReport,
    RoutingPolicy,
    RoutingRequest,
    routing_policies,
)
from leadford.pipelines.routing._baselines import LeastLoaded, PowerOfTwo, RoundRobin
from leadford.pipelines.routing._expected_finish import ExpectedFinish
from leadford.pipelines.routing._prefixes import PrefixIndex

__all__ = [
    "ClassWait",
    "EndpointView",
    "ExpectedFinish",
    "LeastLoaded",
    "LoadReport",
    "PowerOfTwo",
    "PrefixIndex",
    "RoundRobin",
    "RoutingPolicy",
    "RoutingRequest",
    "routing_policies",
]
