"""Send requests to the entries over idle and new connections.

Requests come at random; when an entry is told to stop, callers continue to use their
connections to it until the process ends. Owns the tasks that send.
"""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from random import Random

from leadford_standins.soak._base import (
    CrashingPrompts,
    RepeatedRequest,
    SoakOptions,
)
from leadford_standins.soak._ledger import Ledger, Outcome, Sent
from leadford_standins.soak.parts._config import ConfigWriter
from leadford_standins.soak.parts._connection import CallerConnection
from leadford_standins.soak.parts._connection_pool import ConnectionPool
from leadford_standins.soak.parts._processes import EntryProcess
from leadford_standins.soak.parts._requests import ROUTE_TIMEOUT_S, RequestSource
from leadford_standins.soak.parts._resumes import (
    BREAK_OFF_S,
    RESUME_DELAY_S,
    StreamResumer,
)

# Time past the timeout of the route after which a caller leaves.
LEAVE_DELAY_S = 1.5
# Fraction of the requests that their caller gives up early, and when it does.
GIVE_UP_FRACTION = 0.02
GIVE_UP_S = (0.02, 0.6)
# Time after the signal to stop in which half of the reserved connections are used: a
# stop may end from there on.
STOP_END_RANGE_S = (2.8, 4.6)


class Callers:
    """Hold all callers of a soak."""

    def __init__(
        self,
        *,
        options: SoakOptions,
        random: Random,
        ledger: Ledger,
        entries: list[EntryProcess],
        config: ConfigWriter,
    ) -> None:
        self.options = options
        self.random = random
        self.ledger = ledger
        self.entries = entries
        self.config = config
        self.requests = RequestSource(options=options, random=random, config=config)
        self.connections = ConnectionPool(random=random, entries=entries)
        self.resumer = StreamResumer(
            part=options.resume_part,
            random=random,
            sent_by_id=ledger.sent_by_id_,
            some_unnamed=options.losses_per_s > 0.0,
        )
        self.tasks_: set[asyncio.Task[None]] = set()
        # The entry that most callers go to, and the fraction of the requests there.
        self.favoured_: EntryProcess | None = None
        self.favoured_fraction_ = 0.0

    async def run(self, seconds: float) -> None:
        """Send requests for a time in seconds, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        filling = asyncio.create_task(self.connections.fill_reserved())
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(self.options.requests_per_s))
            self._spawn(self._next_request())
        filling.cancel()
        await self.finish()

    async def finish(self) -> None:
        """Wait until every request has ended for its caller."""
        while self.tasks_:
            await asyncio.wait(list(self.tasks_))

    def favour(self, entry: EntryProcess | None, fraction: float) -> None:
        """Let most callers go to one entry from now on; to all if it is None."""
        self.favoured_ = entry
        self.favoured_fraction_ = fraction

    def repeat(self, request: RepeatedRequest) -> None:
        """Send copies of a request, each through a random entry."""
        self._spawn(self._repeat(request))

    def send_prompts(self, prompts: CrashingPrompts) -> None:
        """Send requests with a part of the prompt that ends engines."""
        self._spawn(self._send_prompts(prompts))

    def use_reserved_connections(self, entry: EntryProcess) -> None:
        """Send requests over the reserved connections to an entry that is stopping."""
        grace_range_s = (0.0, self.options.bounds.grace_s)
        for number, connection in enumerate(self.connections.take_reserved(entry)):
            range_s = STOP_END_RANGE_S if number % 2 else grace_range_s
            after_s = self.random.uniform(*range_s)
            self._spawn(self._send_later(entry, connection, after_s))

    def _spawn(self, sending: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(sending)
        self.tasks_.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks_.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.ledger.errors_.append(f"caller: {task.exception()!r}")

    def _next_request(self) -> Coroutine[None, None, None]:
        """Return the sending of another request, drawn at random."""
        favoured = self.favoured_
        if favoured is None or self.random.random() >= self.favoured_fraction_:
            entry = self.random.choice(self.entries)
            return self._send(entry, self.requests.draw(entry))
        return self._send_anew(favoured, self.requests.draw(favoured))

    async def _repeat(self, request: RepeatedRequest) -> None:
        key = self.config.draw_key()
        draw = partial(self.requests.draw_copy, request=request, key=key)
        await self._send_series(draw, request.duration_s, request.gap_s)

    async def _send_prompts(self, prompts: CrashingPrompts) -> None:
        key = self.config.draw_key()
        draw = partial(self.requests.draw_prompt, part=prompts.part, key=key)
        await self._send_series(draw, prompts.duration_s, prompts.gap_s)

    async def _send_series(
        self, draw: Callable[[EntryProcess], Sent], duration_s: float, gap_s: float
    ) -> None:
        """Send a request through a random entry after each gap, for a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        while loop.time() < until:
            entry = self.random.choice(self.entries)
            self._spawn(self._send(entry, draw(entry)))
            await asyncio.sleep(gap_s)

    async def _send_later(
        self, entry: EntryProcess, connection: CallerConnection, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        if not connection.is_usable:
            return
        await self._send(entry, self.requests.draw(entry), connection)

    async def _send_anew(self, entry: EntryProcess, sent: Sent) -> None:
        """Send a request over a new connection."""
        await self._send(entry, sent, await self.connections.open(entry))

    async def _send(
        self,
        entry: EntryProcess,
        sent: Sent,
        connection: CallerConnection | None = None,
    ) -> None:
        """Send a request, by default over any connection, and resume its stream."""
        self.ledger.sent_by_id_[sent.request_id] = sent
        if not sent.asked:
            self.requests.complete(sent)
        connection = connection or await self.connections.take(entry)
        if connection is None:
            sent.sent_at = sent.ended_at = asyncio.get_running_loop().time()
            sent.outcome = Outcome.UNSENT
            return
        sent.incarnation = connection.incarnation
        await connection.exchange(sent, self._draw_leave_after_s(sent))
        self.connections.put_back(entry, connection)
        following = self.resumer.next_request(sent, f"{sent.request_id}+")
        if following is not None:
            await asyncio.sleep(self.random.uniform(*RESUME_DELAY_S))
            await self._resume(following)

    def _draw_leave_after_s(self, sent: Sent) -> float:
        """Return how long a caller waits for the end of its answer."""
        leave_after_s = ROUTE_TIMEOUT_S + LEAVE_DELAY_S
        if self.random.random() < GIVE_UP_FRACTION:
            leave_after_s = self.random.uniform(*GIVE_UP_S)
            sent.detail = "gives up"
        if self.resumer.breaks_off(sent):
            leave_after_s = self.random.uniform(*BREAK_OFF_S)
            sent.detail = "gives up"
        return leave_after_s

    async def _resume(self, sent: Sent) -> None:
        """Resume a stream at a random entry, over a new connection."""
        entry = self.random.choice(self.entries)
        sent.entry, sent.incarnation = entry.name, entry.start_count_
        await self._send_anew(entry, sent)
