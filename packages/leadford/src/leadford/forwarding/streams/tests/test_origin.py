"""A stream goes on at the software version that began it, and nowhere else."""

import msgspec
import pytest

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    ListedEndpoint,
    ListedState,
    SoftwareVersion,
)
from leadford.forwarding.routes import (
    Route,
    RouteId,
    RouteKind,
    ServiceId,
    WeightedService,
)
from leadford.forwarding.streams import StreamOrigin

SERVICE = ServiceId("s")
UNLISTED = msgspec.UNSET


def listed(software):
    return ListedEndpoint(
        endpoint_id=EndpointId("a"),
        service_id=SERVICE,
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId("h"),
        state=ListedState.READY,
        slots=4,
        software=software,
    )


@pytest.mark.parametrize(
    ("began_at", "listed_as", "goes_on"),
    [
        ("v1", "v1", True),
        ("v1", "v2", False),
        ("v1", UNLISTED, False),
        (None, "v1", False),
        (None, UNLISTED, False),
        ("", "", True),
        ("", "v1", False),
    ],
)
def test_a_stream_goes_on_only_at_its_own_version(began_at, listed_as, goes_on):
    software = None if began_at is None else SoftwareVersion(began_at)
    origin = StreamOrigin(SERVICE, software)
    assert origin.accepts(listed(listed_as)) is goes_on


@pytest.mark.parametrize(
    ("weight_by_name", "goes_to"),
    [
        ({"s": 1.0}, SERVICE),
        ({"other": 9.0, "s": 1.0}, SERVICE),
        ({"other": 1.0, "s": 0.0}, None),
        ({"other": 1.0}, None),
    ],
)
def test_a_stream_of_a_split_route_stays_at_its_service(weight_by_name, goes_to):
    services = tuple(
        WeightedService(ServiceId(name), weight)
        for name, weight in weight_by_name.items()
    )
    route = Route(
        route_id=RouteId("r"),
        host="h",
        path_prefix="/",
        kind=RouteKind.STREAM,
        services=services,
        timeout_ms=3_000.0,
        aim_ms=1_000.0,
    )
    origin = StreamOrigin(SERVICE, SoftwareVersion("v1"))
    assert origin.service_on(route) == goes_to
