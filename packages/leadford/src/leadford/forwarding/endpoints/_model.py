"""Describe endpoints as the platform lists them and as their answers report.

Listed endpoints travel between entries by field name, so these names stay.
"""

from enum import Enum
from typing import NewType

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.routes import ServiceId

EndpointAddress = NewType("EndpointAddress", str)


class ListedState(Enum):
    """Say whether a listed endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(msgspec.Struct, frozen=True):
    """Describe one start of an endpoint; another start has another id.

    Units: cold_ms is how much longer it stays slow; revision orders the listings.
    """

    endpoint_id: EndpointId
    service_id: ServiceId
    address: EndpointAddress
    hall: HallId
    state: ListedState
    slots: int
    cold_ms: float = 0.0
    revision: int = 0


class ReportedLoad(msgspec.Struct, frozen=True):
    """Hold the load that an endpoint put on an answer."""

    running: int
    waiting: int
    slots: int
