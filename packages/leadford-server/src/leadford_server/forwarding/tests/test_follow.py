"""Watches wait as long as they are told, and shorter after one that heard nothing."""

import asyncio
from random import Random
from types import SimpleNamespace

from returns.result import Failure, Success

from leadford_platform import PlatformObjects
from leadford_server.forwarding._contract import StoreFailure
from leadford_server.forwarding._follow import KindFollower

NO_NEWS = Success(b'{"events": [], "at": 7}')


class Client:
    """Stand in for the client of the store: give prepared answers, keep the waits."""

    def __init__(self, answers):
        self.codec = PlatformObjects()
        self.log = None
        self.answers = list(answers)
        self.waits_ = []

    async def call(self, path, *, wait_s, margin_s):
        self.waits_.append(wait_s)
        return self.answers.pop(0)


def waits_of(answers, watch_s):
    client = Client(answers)
    follower = KindFollower(
        kind="config",
        client=client,
        random=Random(1),
        owner=SimpleNamespace(on_confirmed=lambda revision: None),
        watch_s=lambda: watch_s,
    )
    follower.revision_ = 5

    async def watch_all():
        while client.answers:
            await follower._watch()

    asyncio.run(watch_all())
    return client.waits_


def test_a_watch_after_one_that_heard_nothing_is_short():
    lost = Failure(StoreFailure.UNAVAILABLE)
    assert waits_of([NO_NEWS, lost, lost, NO_NEWS, NO_NEWS], 4.0) == [
        4.0,
        4.0,
        1.8,
        1.8,
        4.0,
    ]


def test_a_short_watch_stays_as_it_is():
    assert waits_of([Failure(StoreFailure.UNAVAILABLE), NO_NEWS], 0.5) == [0.5, 0.5]
