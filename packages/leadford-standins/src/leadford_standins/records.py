"""Make records of endpoints as a listing would, for tests of what is decided from them.

Relies on the model of listed endpoints alone; nothing is opened or sent.
"""

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRecord,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.routes import ServiceId


def endpoint_record(
    name: str,
    *,
    hall: str = "h",
    service: str = "s",
    address: str = "10.0.0.1:80",
    slots: int = 1,
) -> EndpointRecord:
    """Return the record of an endpoint that is listed as ready."""
    return EndpointRecord(
        listed=ListedEndpoint(
            endpoint_id=EndpointId(name),
            service_id=ServiceId(service),
            address=EndpointAddress(address),
            hall=HallId(hall),
            state=ListedState.READY,
            slots=slots,
        )
    )
