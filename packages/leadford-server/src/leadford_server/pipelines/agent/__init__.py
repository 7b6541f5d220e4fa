"""Run the agent of an endpoint, which holds its queue, results and model orders."""

from leadford_server.pipelines.agent._process import AgentProcess
from leadford_server.pipelines.agent._service import AgentService
from leadford_server.pipelines.agent.adapters import (
    AdapterOutcome,
    EndpointAdapter,
    endpoint_adapters,
)

__all__ = [
    "AdapterOutcome",
    "AgentProcess",
    "AgentService",
    "EndpointAdapter",
    "endpoint_adapters",
]
