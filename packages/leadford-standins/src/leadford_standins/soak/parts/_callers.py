"""Send requests to the entries over idle and new connections.

Owns the callers' connections. Requests come at random; when an entry is told to stop,
callers continue to use their connections to it until the process ends.
"""

import asyncio
from collections.abc import Coroutine
from random import Random

from leadford_standins.soak._base import (
    CrashingPrompts,
    RepeatedRequest,
    SoakOptions,
)
from leadford_standins.soak._ledger import Ledger, Outcome, Sent
from leadford_standins.soak.parts._config import MOVED_ROUTE, ConfigWriter
from leadford_standins.soak.parts._connection import CallerConnection
from leadford_standins.soak.parts._endpoints import WORK_HEADER
from leadford_standins.soak.parts._processes import EntryProcess
from leadford_standins.soak.parts._resumes import (
    BREAK_OFF_S,
    RESUME_DELAY_S,
    StreamResumer,
)
from leadford_standins.wire import HOST

# Timeout of every route in the configuration of the stand-ins.
ROUTE_TIMEOUT_S = 4.0
# Time past the timeout of the route after which a caller leaves.
LEAVE_DELAY_S = 1.5
DEADLINES_MS = (1_500, 3_500)
# Fractions of the requests that use a new connection, and that their caller gives up.
NEW_CONNECTION_FRACTION = 0.15
GIVE_UP_FRACTION = 0.02
GIVE_UP_S = (0.02, 0.6)
WORK_MS = (2.0, 60.0)
MIN_LONG_WORK_MS = 300.0
# Connections reserved to each entry for a planned stop, and the time after its signal
# in which half of them are used: a stop may end from there on.
MAX_RESERVED_CONNECTIONS = 24
STOP_END_RANGE_S = (2.8, 4.6)
# Idle connections kept to each entry besides the reserved ones.
MAX_IDLE_CONNECTIONS = 32
ROUTES = ("safe", "unsafe", "resumed", "once", MOVED_ROUTE, "added", "gone", "never")
ROUTE_WEIGHTS = (4, 4, 3, 3, 3, 3, 1, 0.3)
RECENT_ROUTE_COUNT = 6
PROMPT_ROUTES = ("resumed", "once")


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
        self.idle_: dict[str, list[CallerConnection]] = {e.name: [] for e in entries}
        self.reserved_: dict[str, list[CallerConnection]] = {
            e.name: [] for e in entries
        }
        self.tasks_: set[asyncio.Task[None]] = set()
        self.count_ = 0
        # The entry that most callers go to, and the fraction of the requests there.
        self.favoured_: EntryProcess | None = None
        self.favoured_fraction_ = 0.0
        self.resumer = StreamResumer(
            part=options.resume_part, random=random, sent_by_id=ledger.sent_by_id_
        )

    async def run(self, seconds: float) -> None:
        """Send requests for a time in seconds, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        filling = asyncio.create_task(self._fill_reserved())
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(self.options.requests_per_s))
            self._spawn(self._next_request())
        filling.cancel()
        await self.finish()

    def _next_request(self) -> Coroutine[None, None, None]:
        """Return the sending of another request, drawn at random."""
        favoured = self.favoured_
        if favoured is None or self.random.random() >= self.favoured_fraction_:
            entry = self.random.choice(self.entries)
            return self._send(entry, self._draw_request(entry), None)
        return self._send_anew(favoured, self._draw_request(favoured))

    async def _send_anew(self, entry: EntryProcess, sent: Sent) -> None:
        """Send a request over a new connection."""
        await self._send(entry, sent, await self._open_connection(entry))

    def favour(self, entry: EntryProcess | None, fraction: float) -> None:
        """Let most callers go to one entry from now on; to all if it is None."""
        self.favoured_ = entry
        self.favoured_fraction_ = fraction

    def send_prompts(self, prompts: CrashingPrompts) -> None:
        """Send requests with a part of the prompt that ends engines."""
        self._spawn(self._send_prompts(prompts))

    async def _send_prompts(self, prompts: CrashingPrompts) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + prompts.duration_s
        key = self.config.draw_key()
        while loop.time() < until:
            entry = self.random.choice(self.entries)
            sent = self._draw_request(entry)
            sent.route, sent.method = self.random.choice(PROMPT_ROUTES), "POST"
            sent.path, sent.key = f"/{sent.route}/{sent.request_id}", key
            headers = self._make_headers(sent)
            parts = f"aa:50,{prompts.part}:30,{sent.request_id}:9"
            sent.asked = {**headers, "X-Prefix-Hash": parts}
            self._spawn(self._send(entry, sent, None))
            await asyncio.sleep(prompts.gap_s)

    async def finish(self) -> None:
        """Wait until every request has ended for its caller."""
        while self.tasks_:
            await asyncio.wait(list(self.tasks_))

    def use_reserved_connections(self, entry: EntryProcess) -> None:
        """Send requests over the reserved connections to an entry that is stopping."""
        reserved = self.reserved_[entry.name]
        self.reserved_[entry.name] = []
        for number, connection in enumerate(reserved):
            span = (
                STOP_END_RANGE_S if number % 2 else (0.0, self.options.bounds.grace_s)
            )
            after_s = self.random.uniform(*span)
            self._spawn(self._send_later(entry, connection, after_s))

    async def _send_later(
        self, entry: EntryProcess, connection: CallerConnection, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        if not connection.is_usable:
            return
        await self._send(entry, self._draw_request(entry), connection)

    async def _fill_reserved(self) -> None:
        while True:
            for entry in self.entries:
                reserved = [c for c in self.reserved_[entry.name] if c.is_usable]
                self.reserved_[entry.name] = reserved
                if len(reserved) >= MAX_RESERVED_CONNECTIONS or entry.is_ending_:
                    continue
                opened = await self._open_connection(entry)
                if opened is not None:
                    self.reserved_[entry.name].append(opened)
            await asyncio.sleep(0.05)

    async def _open_connection(self, entry: EntryProcess) -> CallerConnection | None:
        if not entry.is_running():
            return None
        return await CallerConnection.open(entry.callers, entry.start_count_)

    def repeat(self, request: RepeatedRequest) -> None:
        """Send copies of a request, each through a random entry."""
        self._spawn(self._repeat(request))

    async def _repeat(self, request: RepeatedRequest) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + request.duration_s
        key = self.config.draw_key()
        while loop.time() < until:
            entry = self.random.choice(self.entries)
            sent = self._draw_request(entry)
            sent.route, sent.method = request.route, "POST"
            sent.path, sent.key = f"/{request.route}/ending", key
            sent.body = request.body
            self._spawn(self._send(entry, sent, None))
            await asyncio.sleep(request.gap_s)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks_.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.ledger.errors_.append(f"caller: {task.exception()!r}")

    def _draw_request(self, entry: EntryProcess) -> Sent:
        """Return a request drawn at random."""
        random = self.random
        route = random.choices(ROUTES, ROUTE_WEIGHTS)[0]
        segment = route
        if route == "added":
            recent = self.config.added_routes_[-RECENT_ROUTE_COUNT:]
            segment = random.choice(recent or [MOVED_ROUTE])
        if route == "gone":
            recent = self.config.removed_routes_[-RECENT_ROUTE_COUNT:]
            segment = random.choice(recent or ["gone"])
        self.count_ += 1
        return Sent(
            request_id=f"r{self.count_:06d}",
            route=route,
            path=f"/{segment}/{random.randrange(1_000)}?q={random.randrange(10)}",
            method="GET" if route == "safe" and random.random() < 0.5 else "POST",
            key=self.config.draw_key(),
            body=b"",
            entry=entry.name,
            incarnation=entry.start_count_,
            sent_at=0.0,
            timeout_s=ROUTE_TIMEOUT_S,
        )

    async def _send(
        self, entry: EntryProcess, sent: Sent, connection: CallerConnection | None
    ) -> None:
        self.ledger.sent_by_id_[sent.request_id] = sent
        headers = sent.asked or self._make_headers(sent)
        connection = connection or await self._take_connection(entry)
        if connection is None:
            sent.sent_at = sent.ended_at = asyncio.get_running_loop().time()
            sent.outcome = Outcome.UNSENT
            return
        sent.incarnation = connection.incarnation
        leave_after_s = ROUTE_TIMEOUT_S + LEAVE_DELAY_S
        if self.random.random() < GIVE_UP_FRACTION:
            leave_after_s = self.random.uniform(*GIVE_UP_S)
            sent.detail = "gives up"
        if self.resumer.breaks_off(sent):
            leave_after_s = self.random.uniform(*BREAK_OFF_S)
            sent.detail = "gives up"
        await connection.exchange(sent, headers, leave_after_s)
        self._put_back(entry, connection)
        following = self.resumer.next_request(sent, f"{sent.request_id}+")
        if following is not None:
            await asyncio.sleep(self.random.uniform(*RESUME_DELAY_S))
            await self._resume(following)

    async def _resume(self, sent: Sent) -> None:
        """Resume a stream at a random entry, over a new connection."""
        entry = self.random.choice(self.entries)
        sent.entry, sent.incarnation = entry.name, entry.start_count_
        connection = await self._open_connection(entry)
        await self._send(entry, sent, connection)

    def _put_back(self, entry: EntryProcess, connection: CallerConnection) -> None:
        """Keep a connection for further requests, or close it."""
        if not connection.is_usable:
            return
        if len(self.idle_[entry.name]) < MAX_IDLE_CONNECTIONS:
            self.idle_[entry.name].append(connection)
        else:
            connection.close()

    async def _take_connection(self, entry: EntryProcess) -> CallerConnection | None:
        idle = [c for c in self.idle_[entry.name] if c.is_usable]
        self.idle_[entry.name] = idle
        if idle and self.random.random() >= NEW_CONNECTION_FRACTION:
            return idle.pop(self.random.randrange(len(idle)))
        return await self._open_connection(entry)

    def _make_headers(self, sent: Sent) -> dict[str, str]:
        random = self.random
        if sent.method == "POST" and not sent.body:
            sent.body = f"payload of {sent.request_id}".encode()
        span = WORK_MS
        if random.random() < self.options.long_part:
            span = (MIN_LONG_WORK_MS, self.options.long_work_s * 1_000.0)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": sent.request_id,
            "X-Deadline-Ms": str(random.randint(*DEADLINES_MS)),
            "X-Pieces": "2,1",
            "X-Piece-Key": f"pk-{sent.request_id}",
            "X-Model": "m",
            "X-Token-Counts": "100,10",
            "X-Prefix-Hash": f"aa:50,{random.randrange(16):x}b:20",
            WORK_HEADER: f"{random.uniform(*span):.0f}",
        }
        if self.resumer.part > 0.0:
            # A shared part would keep all streams at the engine that has it cached.
            headers["X-Prefix-Hash"] = f"{sent.request_id}:50"
        if sent.body:
            headers["Content-Length"] = str(len(sent.body))
        if sent.key is not None:
            headers["Authorization"] = f"Token {sent.key}"
        sent.asked = dict(headers)
        return headers
