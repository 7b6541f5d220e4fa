"""The state of an entry follows the bounds of its deployment."""

from random import Random

import pytest

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.endpoints import EndpointAddress, ListedEndpoint, ListedState
from leadford.forwarding.history import FIRST_EPOCH, StorePosition
from leadford.forwarding.routes import ServiceId
from leadford_server.forwarding._state import ForwardBounds, ForwardState

SERVICE = ServiceId("s")


class Clock:
    """Replace the event loop, of which only the clock is used."""

    def __init__(self, now):
        self.now = now

    def time(self):
        return self.now


def new_state(clock, bounds):
    return ForwardState(
        codec=None,
        hall=HallId("h"),
        bounds=bounds,
        entry_id=EntryId("e"),
        random=Random(1),
        loop=clock,
        log=None,
    )


@pytest.mark.parametrize(
    ("drain_s", "used_s", "gone_s"),
    [(2.0, 1.05, 1.15), (3.0, 1.95, 2.05), (4.0, 1.95, 2.05)],
)
def test_a_service_that_a_store_forgot_is_used_until_its_entries_are_back(
    drain_s, used_s, gone_s
):
    """Guard against a service without endpoints although all of them work.

    The store is unavailable and then removes a whole service. Each endpoint is listed
    again within two seconds, the only one of its service after 1.9 s. With a `drain_s`
    of 3 s removed endpoints were used for only 1.65 s; with 4 s for 2.2 s, although an
    endpoint that is not listed again by then is gone.
    """
    clock = Clock(10.0)
    state = new_state(clock, ForwardBounds(drain_s=drain_s))
    endpoint = ListedEndpoint(
        endpoint_id=EndpointId("a"),
        service_id=SERVICE,
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId("h"),
        state=ListedState.READY,
        slots=4,
        revision=1,
    )
    state.roster_.record_listed(endpoint)
    state.roster_.outage_.record_failed_call(9.0, 1.0, clock.now)
    state.roster_.replace([], StorePosition(FIRST_EPOCH, 9), clock.now)
    clock.now = 10.0 + used_s
    assert [record.listed for record in state.usable(SERVICE)] == [endpoint]
    clock.now = 10.0 + gone_s
    assert state.usable(SERVICE) == []
