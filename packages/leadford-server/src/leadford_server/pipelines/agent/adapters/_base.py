"""State what an adapter does, and hold all adapters by name.

An outcome states how a call ended and what it cost, not whether it is retried.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from tornado.httpclient import AsyncHTTPClient

from leadford.common import Registry
from leadford.protocol import DoneStatus, Submit

# Timeout of a connection to the endpoint beside the agent, and of a cancellation.
CONNECT_TIMEOUT_S = 1.0

TokenSink = Callable[[list[str], str], None]


class AdapterOutcome(msgspec.Struct, frozen=True):
    """Describe how a call to an endpoint ended.

    Units: accelerator_ms is endpoint time, 0 when the endpoint does not report it.
    """

    status: DoneStatus
    result: bytes = b"null"
    error: str = ""
    prefill_tokens: int = 0
    cached_tokens: int = 0
    accelerator_ms: float = 0.0
    model_version: str = ""
    crossed: bool = False
    endpoint_ended: bool = False


class EndpointAdapter(Protocol):
    """Run attempts at an endpoint of one kind."""

    @classmethod
    def from_config(
        cls, *, url: str, path: str, http: AsyncHTTPClient
    ) -> "EndpointAdapter":
        """Build an adapter for an endpoint."""

    async def run(
        self, submit: Submit, timeout_s: float, sink: TokenSink
    ) -> AdapterOutcome:
        """Run one attempt and pass its tokens to the sink.

        Units: timeout_s in seconds.
        """

    async def cancel(self, submit: Submit) -> None:
        """Stop an attempt, if the endpoint supports it."""


endpoint_adapters: Registry[EndpointAdapter] = Registry("endpoint adapter")


def attempt_key(request_id: str, stage: str, attempt: int) -> str:
    """Return the key that identifies an attempt."""
    return f"{request_id}/{stage}/{attempt}"
