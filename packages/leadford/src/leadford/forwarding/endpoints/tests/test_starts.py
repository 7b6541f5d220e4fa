"""Reports of starts under one name arrive late, twice and out of order.

A model of the store writes starts, drains, crashes and expiries of a few names. Two
entries hear of the changes in any order, of some twice, of some only from a complete
listing, and hear from each other. Whatever the order, they use the endpoints that run.
"""

import msgspec
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRoster,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.history import FIRST_EPOCH, StorePosition
from leadford.forwarding.routes import ServiceId


def at(revision):
    return StorePosition(FIRST_EPOCH, revision)


SERVICE = ServiceId("plain")
NAMES = ("a", "b", "c")


def start(name, born, revision, state=ListedState.READY):
    return ListedEndpoint(
        endpoint_id=EndpointId(f"{name}@{born}"),
        service_id=SERVICE,
        address=EndpointAddress("127.0.0.1:1"),
        hall=HallId("h"),
        state=state,
        slots=1,
        revision=revision,
        listed_as=name,
        born=born,
    )


class StartsModel(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.now = 0.0
        self.revision = 0
        self.born = 0
        self.listed = {}
        self.ended = set()
        self.news = []
        self.rosters = [EndpointRoster(removed_grace_s=0.0) for _ in range(2)]
        # The latest start of each name that each entry has heard of.
        self.heard = [dict.fromkeys(NAMES, 0) for _ in range(2)]

    def write(self, name, endpoint):
        """Change what the store lists under a name; None removes it."""
        self.revision += 1
        before = self.listed.pop(name, None)
        if endpoint is not None:
            endpoint = msgspec.structs.replace(endpoint, revision=self.revision)
            self.listed[name] = endpoint
        if before is not None and (
            endpoint is None or endpoint.endpoint_id != before.endpoint_id
        ):
            self.ended.add(before.endpoint_id)
        self.news.append((name, endpoint, self.revision))

    @rule(name=st.sampled_from(NAMES))
    def starts(self, name):
        self.born += 1
        self.write(name, start(name, self.born, 0))

    @rule(name=st.sampled_from(NAMES))
    def drains(self, name):
        if name in self.listed:
            leaving = msgspec.structs.replace(
                self.listed[name], state=ListedState.DRAINING
            )
            self.write(name, leaving)

    @rule(name=st.sampled_from(NAMES))
    def lapses(self, name):
        if name in self.listed:
            self.write(name, None)

    @rule(which=st.integers(0, 1), back=st.integers(0, 6), data=st.data())
    def hears(self, which, back, data):
        """Report one of the last changes to an entry, possibly again or late."""
        if not self.news:
            return
        name, endpoint, revision = self.news[max(0, len(self.news) - 1 - back)]
        roster = self.rosters[which]
        if endpoint is None:
            roster.remove(name, at(revision), self.now)
        else:
            roster.record_listed(endpoint)
            self.hear_of(which, [endpoint])

    def hear_of(self, which, endpoints):
        heard = self.heard[which]
        for endpoint in endpoints:
            heard[endpoint.name] = max(heard[endpoint.name], endpoint.born)

    @rule(which=st.integers(0, 1))
    def hears_all(self, which):
        """Give an entry a complete listing; it then uses just the ready endpoints."""
        self.now += 1.0
        self.rosters[which].replace(self.listed.values(), at(self.revision), self.now)
        self.hear_of(which, self.listed.values())
        usable = {r.listed.endpoint_id for r in self.usable(which)}
        ready = {
            endpoint.endpoint_id
            for endpoint in self.listed.values()
            if endpoint.state is ListedState.READY
        }
        assert usable == ready

    @rule(source=st.integers(0, 1))
    def tells(self, source):
        """Send the listing of one entry to the other."""
        teller, hearer = self.rosters[source], self.rosters[1 - source]
        if teller.changed_position_ > hearer.changed_position_:
            hearer.replace(teller.listed(), teller.changed_position_, self.now)
            self.hear_of(1 - source, teller.listed())

    def usable(self, which):
        return self.rosters[which].usable(SERVICE, self.now + 1.0)

    @invariant()
    def uses_one_start_of_a_name(self):
        for which in range(2):
            names = [record.listed.name for record in self.usable(which)]
            assert len(names) == len(set(names))

    @invariant()
    def uses_no_start_that_it_was_told_is_over(self):
        """A start is not used once its entry has heard of a later start of the name."""
        for which in range(2):
            for record in self.usable(which):
                assert record.listed.born == self.heard[which][record.listed.name]


TestStarts = StartsModel.TestCase
TestStarts.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
