"""Share one read of the store among all that ask for it before it begins."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class SharedRead(Generic[T]):
    """Run a read for all that wait for it, at most once in each interval.

    Each caller gets the result of a read that began after it asked.

    Units: interval_s in seconds.
    """

    def __init__(self, *, read: Callable[[], Awaitable[T]], interval_s: float) -> None:
        self.read = read
        self.interval_s = interval_s
        self.next_: asyncio.Task[T] | None = None
        self.began_at_ = float("-inf")

    async def value(self) -> T:
        """Return the result of the next read."""
        if self.next_ is None:
            self.next_ = asyncio.create_task(self._run())
        return await asyncio.shield(self.next_)

    async def _run(self) -> T:
        now = asyncio.get_running_loop().time
        await asyncio.sleep(max(0.0, self.began_at_ + self.interval_s - now()))
        self.began_at_ = now()
        # Whoever asks from now on waits for another read.
        self.next_ = None
        return await self.read()
