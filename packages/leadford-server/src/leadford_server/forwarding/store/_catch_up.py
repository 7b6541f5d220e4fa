"""Learn at once which changes in the store are missing here.

Used where a decision must not follow from objects that changed meanwhile: an entry that
was cut off or suspended knows them as they were before. `_follow` applies the changes.
"""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_changes_or_none,
)
from leadford_server.forwarding.store._follow import KindFollower
from leadford_server.forwarding.store._shared_read import SharedRead

# Minimum time between two reads of the changes.
READ_INTERVAL_S = 0.1


class CatchUp:
    """Read the changes of a kind that its follower has not seen, and apply them.

    `follower` returns the follower of the kind, None before there is one.
    """

    def __init__(
        self, *, client: ObjectsClient, follower: Callable[[], KindFollower | None]
    ) -> None:
        self.client = client
        self.follower = follower
        self.reads = SharedRead(read=self._read, interval_s=READ_INTERVAL_S)

    async def is_current(self) -> bool:
        """Return whether no change is missing that the store had before the call."""
        return await self.reads.value()

    async def _read(self) -> bool:
        follower = self.follower()
        if follower is None or follower.position_ is None:
            return False
        asked_from = follower.position_
        asked_at = asyncio.get_running_loop().time()
        codec = self.client.codec
        read = await self.client.call(
            codec.watch_path(follower.kind, asked_from.revision, 0)
        )
        if isinstance(read, Failure):
            return False
        answer = read.unwrap()
        if answer.epoch != asked_from.epoch:
            return False
        seen = decoded_changes_or_none(answer, codec, self.client.log)
        if seen is None:
            return False
        if not follower.learn(asked_from.revision, seen, asked_at):
            return False
        if seen.events:
            # The next watch of the follower no longer returns these changes.
            follower.tell(follower.kind, asked_from, seen)
        return True
