"""Call each kind of endpoint through its published protocol.

Used by `AttemptRunner`; the kind of the pool determines the adapter.
"""

from leadford_server.pipelines.agent.adapters._base import (
    AdapterOutcome,
    EndpointAdapter,
    TokenSink,
    attempt_key,
    endpoint_adapters,
)
from leadford_server.pipelines.agent.adapters._engine import EngineAdapter
from leadford_server.pipelines.agent.adapters._json import JsonAdapter

__all__ = [
    "AdapterOutcome",
    "EndpointAdapter",
    "EngineAdapter",
    "JsonAdapter",
    "TokenSink",
    "attempt_key",
    "endpoint_adapters",
]
