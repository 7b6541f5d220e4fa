"""Load and unload models of the engine according to the newest plan.

Started by `AgentProcess` for an engine. `OrderSequence`
(`leadford.pipelines.placement`) decides which order comes next; this module sends it
and reads from the engine which models it holds.
"""

import asyncio
import json
from collections.abc import Callable

import msgspec
from returns.result import Failure
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford.common import decode_json
from leadford.events import Event
from leadford.pipelines.placement import ModelCopy, OrderSequence, OrderStep
from leadford.protocol import HeldModel, PlanOrder
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.web import NO_RESPONSE_STATUS, fetch

# Timeouts of an order and of a read of the held models, and the interval between checks
# while the engine does not hold what the plan says.
ORDER_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.5


class _EngineState(msgspec.Struct):
    """Hold the versions of the models that an engine reports, by model."""

    models: dict[str, str] = {}


class ModelLoader:
    """Send orders to the engine, one at a time, and track the models it holds."""

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
        self.held_copies_: frozenset[ModelCopy] = frozenset()
        self.task_: asyncio.Task[None] | None = None
        self.wake_ = asyncio.Event()

    def start(self) -> None:
        """Start to carry out plans."""
        self.task_ = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop sending orders."""
        self.task_.cancel()

    def accept_plan(self, order: PlanOrder) -> None:
        """Accept a plan, unless it is older than the current one."""
        wanted = frozenset(ModelCopy(held.model, held.version) for held in order.models)
        if self.sequence.adopt_plan(order.fence, wanted):
            self.wake_.set()

    def held(self) -> list[HeldModel]:
        """Return the models that the engine holds, for load reports."""
        return [
            HeldModel(copy.model, copy.version) for copy in sorted(self.held_copies_)
        ]

    async def _run(self) -> None:
        await self._read_held_copies()
        while True:
            step = self.sequence.next_order(self.held_copies_, boot_time())
            if step is not None:
                await self._send_order(step)
                await self._read_held_copies()
                continue
            await self._pause()

    async def _pause(self) -> None:
        """Wait for a plan, or for an interval if the current plan is not met."""
        self.wake_.clear()
        has_unmet_plan = (
            self.sequence.wanted_copies_ != self.held_copies_ and self.sequence.fence_
        )
        try:
            async with asyncio.timeout(POLL_INTERVAL_S if has_unmet_plan else None):
                await self.wake_.wait()
        except TimeoutError:
            # No plan arrived: the caller checks again which order comes next.
            return

    async def _read_held_copies(self) -> None:
        request = HTTPRequest(f"{self.url}/orders", request_timeout=READ_TIMEOUT_S)
        response = await fetch(self.http, request)
        if response.code != 200:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        state = decode_json(response.body, _EngineState)
        if isinstance(state, Failure):
            self.log.report(
                Event.RECORD_UNREADABLE, record=self.url, error=state.failure()
            )
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        models = state.unwrap().models
        copies = frozenset(ModelCopy(*pair) for pair in models.items())
        if copies != self.held_copies_:
            self.held_copies_ = copies
            self.on_change()

    async def _send_order(self, step: OrderStep) -> None:
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
        if response.code == NO_RESPONSE_STATUS:
            self.log.report(Event.ORDER_IN_DOUBT, **order)
            self.sequence.record_lost(step, boot_time())
