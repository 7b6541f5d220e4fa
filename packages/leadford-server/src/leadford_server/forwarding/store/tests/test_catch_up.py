"""Changes that are read out of turn are treated as those that a watch returns."""

import asyncio
import json
from random import Random
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from leadford.events import Event
from leadford.forwarding.history import (
    FIRST_EPOCH,
    StoreEpoch,
    StoreEpochs,
    StorePosition,
)
from leadford_platform import PlatformObjects
from leadford_server.forwarding._store_contract import StoreAnswer, StoreFailure
from leadford_server.forwarding.store._catch_up import CatchUp
from leadford_server.forwarding.store._follow import KindFollower

KNOWN = StorePosition(FIRST_EPOCH, 5)
NEXT_EPOCH = StoreEpoch(FIRST_EPOCH + 1)


class Client:
    """Stand in for the store client: return one prepared result for each call."""

    def __init__(self, *results):
        self.codec = PlatformObjects()
        self.events_ = []
        self.log = SimpleNamespace(
            report=lambda event, **fields: self.events_.append(event)
        )
        self.epochs = StoreEpochs()
        self.results = list(results)
        self.paths_ = []

    async def call(self, path):
        self.paths_.append(path)
        return self.results.pop(0)


class Listed:
    """Record what a follower of one kind applies and passes on."""

    def __init__(self, *results):
        self.client = Client(*results)
        self.applied_ = []
        self.told_ = []
        self.follower_ = KindFollower(
            kind="servers",
            client=self.client,
            random=Random(1),
            owner=self,
            watch_s=lambda: 2.0,
            call_s=lambda: 2.0,
            tell=lambda kind, after, seen: self.told_.append((kind, after, seen)),
        )
        self.follower_.position_ = KNOWN
        self.catch_up = CatchUp(client=self.client, follower=lambda: self.follower_)

    def on_event(self, event):
        self.applied_.append(event.item["metadata"]["name"])

    def is_current(self):
        return asyncio.run(self.catch_up.is_current())


def answer(*events, at, epoch=FIRST_EPOCH):
    body = json.dumps({"events": list(events), "at": at}).encode()
    return Success(StoreAnswer(body, epoch))


def removed(name, revision):
    metadata = {"name": name, "revision": revision}
    return {"gone": True, "object": {"metadata": metadata, "spec": {}}}


def test_what_is_read_out_of_turn_is_applied_and_passed_on():
    """Guards against other entries that notice late that a change is missing."""
    listed = Listed(answer(removed("x", 7), at=7))
    assert listed.is_current()
    assert listed.applied_ == ["x"]
    told = [(kind, after, seen.revision) for kind, after, seen in listed.told_]
    assert told == [("servers", KNOWN, 7)]
    assert listed.follower_.position_ == StorePosition(FIRST_EPOCH, 7)


def test_nothing_is_passed_on_where_nothing_changed():
    listed = Listed(answer(at=5))
    assert listed.is_current()
    assert (listed.applied_, listed.told_) == ([], [])


def test_what_is_unreadable_is_logged_out_of_turn_too():
    """Guards against a record that is skipped, and of which no log tells."""
    unreadable = {"gone": True, "object": {"metadata": {}}}
    listed = Listed(answer(unreadable, removed("x", 7), at=7))
    assert listed.is_current()
    assert listed.client.events_ == [Event.RECORD_UNREADABLE]
    assert listed.applied_ == ["x"]


@pytest.mark.parametrize(
    "result",
    [
        Failure(StoreFailure.NO_ANSWER),
        Failure(StoreFailure.HISTORY_GONE),
        Success(StoreAnswer(b"no changes", FIRST_EPOCH)),
        answer(removed("x", 7), at=7, epoch=NEXT_EPOCH),
    ],
)
def test_a_listing_whose_changes_cannot_be_told_is_not_current(result):
    """Guards against a listing that is taken for current because a read failed."""
    listed = Listed(result)
    assert not listed.is_current()
    assert (listed.applied_, listed.told_) == ([], [])
    assert listed.follower_.position_ == KNOWN


def test_a_kind_that_was_never_listed_is_not_current():
    listed = Listed()
    listed.follower_.position_ = None
    assert not listed.is_current()
    assert listed.client.paths_ == []
