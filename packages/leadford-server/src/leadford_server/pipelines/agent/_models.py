"""Keep the engine's models as the newest plan says.

Started by `AgentProcess` for an engine. `OrderSequence`
(`leadford.pipelines.placement`) decides which order comes next; here it is sent, and
the engine asked what it holds.
"""

import asyncio
import json
from collections.abc import Callable

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford.events import Event
from leadford.pipelines.placement import ModelCopy, OrderSequence, OrderStep
from leadford.protocol import HeldModel, PlanOrder
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.web import NO_ANSWER, fetch

# Seconds that an order and a reading may take, and between looks while an order is in
# doubt.
ORDER_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 2.0
POLL_S = 0.5


class _EngineState(msgspec.Struct):
    """Hold what an engine says of itself."""

    models: dict[str, str] = {}


class ModelLoader:
    """Give the engine orders, one at a time, and know what it holds."""

    def __init__(
        self,
        *,
        url: str,
        http: AsyncHTTPClient,
        sequence: OrderSequence,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        self.url = url
        self.http = http
        self.sequence = sequence
        self.log = log
        self.on_change = on_change
        self.holds_: frozenset[ModelCopy] = frozenset()
        self.task_: asyncio.Task[None] | None = None
        self.wake_ = asyncio.Event()

    def start(self) -> None:
        """Begin to follow plans."""
        self.task_ = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop giving orders."""
        self.task_.cancel()

    def take(self, order: PlanOrder) -> None:
        """Take a plan in; an older one than is obeyed changes nothing."""
        wanted = frozenset(ModelCopy(held.model, held.version) for held in order.models)
        if self.sequence.offer(order.fence, wanted):
            self.wake_.set()

    def held(self) -> list[HeldModel]:
        """Return what the engine holds, for load reports."""
        return [HeldModel(copy.model, copy.version) for copy in sorted(self.holds_)]

    async def _run(self) -> None:
        await self._read()
        while True:
            step = self.sequence.next_step(self.holds_, boot_time())
            if step is not None:
                await self._give(step)
                await self._read()
                continue
            await self._pause()

    async def _pause(self) -> None:
        """Wait for a plan; look again soon while an order is in doubt."""
        self.wake_.clear()
        doubtful = self.sequence.wanted_ != self.holds_ and self.sequence.fence_
        try:
            await asyncio.wait_for(self.wake_.wait(), POLL_S if doubtful else None)
        except TimeoutError:
            # No plan came: the caller looks again at what the engine holds.
            return

    async def _read(self) -> None:
        request = HTTPRequest(f"{self.url}/orders", request_timeout=READ_TIMEOUT_S)
        response = await fetch(self.http, request)
        if response.code != 200:
            await asyncio.sleep(POLL_S)
            return
        state = msgspec.json.decode(response.body, type=_EngineState)
        holds = frozenset(ModelCopy(*pair) for pair in state.models.items())
        if holds != self.holds_:
            self.holds_ = holds
            self.on_change()

    async def _give(self, step: OrderStep) -> None:
        order = {
            "fence": step.fence,
            "action": step.kind.value,
            "model": step.copy.model,
            "version": step.copy.version,
        }
        self.log.report(Event.ORDER_GIVEN, **order)
        request = HTTPRequest(
            f"{self.url}/orders",
            method="POST",
            body=json.dumps(order),
            request_timeout=ORDER_TIMEOUT_S,
        )
        response = await fetch(self.http, request)
        if response.code == NO_ANSWER:
            self.log.report(Event.ORDER_IN_DOUBT, **order)
            self.sequence.record_lost(step, boot_time())
