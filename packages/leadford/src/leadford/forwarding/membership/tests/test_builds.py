"""Entries of two builds follow the older build's rules only while it is alive."""

import pytest

from leadford.common import EntryId
from leadford.forwarding.membership import BuildVersions, SharedRule
from leadford.protocol import PROTOCOL_VERSION

RULE = SharedRule.COLD_ENGINES_PLACED
OLD, NEW = RULE.value - 1, RULE.value
HUB, LEAF = EntryId("hub"), EntryId("leaf")


class Fleet:
    """Simulate entries that are each linked only to the same two hubs."""

    def __init__(self, versions_by_id):
        self.versions_by_id = versions_by_id
        self.hubs = sorted(versions_by_id)[:2]
        self.builds_by_id = {}
        for name, version in versions_by_id.items():
            self.builds_by_id[name] = BuildVersions(own=version)

    def peers(self, name):
        if name in self.hubs:
            return [peer for peer in self.versions_by_id if peer != name]
        return [hub for hub in self.hubs if hub != name]

    def linked(self, name):
        """Return the versions of the links of an entry."""
        own = self.versions_by_id[name]
        return {peer: min(own, self.versions_by_id[peer]) for peer in self.peers(name)}

    def beat(self):
        """Let each entry of the new build report the oldest version among its links."""
        for name, version in self.versions_by_id.items():
            if version < NEW:
                continue
            lowest = self.builds_by_id[name].lowest_linked(self.linked(name))
            for peer in self.peers(name):
                self.builds_by_id[peer].record_reported(name, lowest)

    def replace(self, name, version):
        """Replace an entry by one of another build."""
        versions = {**self.versions_by_id, name: version}
        beside = self.builds_by_id
        self.__init__(versions)
        for other, builds in self.builds_by_id.items():
            if other != name:
                builds.reported_by_id_.update(beside[other].reported_by_id_)
                builds.reported_by_id_.pop(name, None)

    def verdicts(self):
        """Return what the entries that know the rule decide."""
        return {
            RULE in self.builds_by_id[name].shared_rules(self.linked(name))
            for name, version in self.versions_by_id.items()
            if version >= NEW
        }


def names(count):
    return [EntryId(f"e{number:02}") for number in range(count)]


@pytest.mark.parametrize("old", range(9))
def test_one_old_entry_anywhere_keeps_the_old_rule_for_all(old):
    versions = dict.fromkeys(names(9), NEW)
    versions[names(9)[old]] = OLD
    fleet = Fleet(versions)
    fleet.beat()
    assert fleet.verdicts() == {False}


@pytest.mark.parametrize("last", range(9))
def test_the_new_rule_begins_a_heartbeat_after_the_last_old_entry_is_gone(last):
    versions = dict.fromkeys(names(9), NEW)
    versions[names(9)[last]] = OLD
    fleet = Fleet(versions)
    fleet.beat()
    fleet.replace(names(9)[last], NEW)
    fleet.beat()
    assert fleet.verdicts() == {True}
    # A rollback.
    fleet.replace(names(9)[last], OLD)
    fleet.beat()
    assert fleet.verdicts() == {False}


def test_the_old_rule_holds_before_any_heartbeat():
    builds = BuildVersions(own=NEW)
    assert RULE not in builds.shared_rules({HUB: NEW})


def test_an_old_entry_that_does_not_live_counts_no_more():
    builds = BuildVersions(own=NEW)
    builds.record_reported(HUB, NEW)
    assert RULE not in builds.shared_rules({HUB: NEW, LEAF: OLD})
    assert RULE in builds.shared_rules({HUB: NEW})


def test_what_a_lost_entry_told_counts_no_more():
    builds = BuildVersions(own=NEW)
    builds.record_reported(HUB, OLD)
    assert RULE not in builds.shared_rules({HUB: NEW})
    builds.forget(HUB)
    assert RULE not in builds.shared_rules({HUB: NEW})
    builds.record_reported(HUB, NEW)
    assert RULE in builds.shared_rules({HUB: NEW})


def test_this_build_knows_every_rule_that_is_named():
    alone = BuildVersions(own=PROTOCOL_VERSION)
    assert alone.shared_rules({}) == set(SharedRule)
