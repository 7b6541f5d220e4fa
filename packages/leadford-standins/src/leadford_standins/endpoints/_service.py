"""Stand in for a plain service or a pool of encoders, retrievers or rerankers.

Met by the agents of leadford's own interface; the endpoints of the platform's wire are
`wire/_endpoints`.
"""

import asyncio
import time
from random import Random

import msgspec
from tornado import web

from leadford_standins.endpoints._records import ExecutionRecord, ExecutionTable
from leadford_standins.endpoints._texts import expected_result
from leadford_standins.faults import ControlHandler, FaultState, FaultyHandler


class ServiceCall(msgspec.Struct):
    """Hold the call that an agent makes."""

    request_id: str
    stage: str
    attempt: int
    input: msgspec.Raw
    previous: msgspec.Raw


class SwapPartner:
    """Hold an answer that waits to be exchanged with the next one."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.other_ = asyncio.get_running_loop().create_future()


class ServiceModel:
    """Serve a bounded number of calls at a time, each for a drawn service time."""

    def __init__(
        self, *, service_ms: float, concurrency: int, random: Random, spread: float
    ) -> None:
        self.service_ms = service_ms
        self.random = random
        self.spread = spread
        self.slots_ = asyncio.Semaphore(concurrency)
        self.table_ = ExecutionTable()
        self.swap_partner_: SwapPartner | None = None

    def draw_ms(self, speed: float) -> float:
        """Return the service time of one call."""
        factor = self.random.uniform(1.0 - self.spread, 1.0 + self.spread)
        return self.service_ms * factor / max(speed, 0.001)


class _RunHandler(FaultyHandler):
    """Run one call."""

    def initialize(self, state: FaultState, model: ServiceModel) -> None:
        super().initialize(state)
        self.model = model

    async def post(self) -> None:
        try:
            call = msgspec.json.decode(self.request.body, type=ServiceCall)
        except msgspec.MsgspecError as error:
            raise web.HTTPError(400, reason="malformed call") from error
        if self.model.random.random() < self.state.faults.error_rate:
            raise web.HTTPError(500, reason="injected failure")
        async with self.model.slots_:
            service_ms = self.model.draw_ms(self.state.faults.speed)
            await asyncio.sleep(service_ms / 1000.0)
        self.model.table_.busy_ms_ += service_ms
        self.model.table_.add(
            ExecutionRecord(
                call.request_id, call.stage, call.attempt, time.time(), True, service_ms
            )
        )
        ends_on = self.state.faults.ends_on
        if ends_on and ends_on in bytes(call.input).decode():
            self.drop()
            return
        await self._answer(call)

    async def _answer(self, call: ServiceCall) -> None:
        echo = f"{call.request_id}/{call.stage}/{call.attempt}"
        digest = expected_result(call.stage, bytes(call.input).decode())
        body = msgspec.json.encode({"echo": echo, "result": digest})
        body = await self._swap(body)
        if self.state.take_lost_answer():
            self.drop()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    async def _swap(self, body: bytes) -> bytes:
        """Exchange this answer with the next one while the fault lasts."""
        if self.state.faults.swap_answers <= 0:
            return body
        partner = self.model.swap_partner_
        if partner is None:
            partner = SwapPartner(body)
            self.model.swap_partner_ = partner
            return await partner.other_
        self.model.swap_partner_ = None
        self.state.faults.swap_answers -= 1
        partner.other_.set_result(body)
        return partner.body


class _RecordsHandler(web.RequestHandler):
    """Answer with the executions."""

    def initialize(self, table: ExecutionTable) -> None:
        self.table = table

    def get(self) -> None:
        self.finish(self.table.to_json())


def make_service_app(
    *,
    service_ms: float,
    concurrency: int = 4,
    spread: float = 0.3,
    random: Random,
) -> web.Application:
    """Return the application of one service."""
    state = FaultState()
    model = ServiceModel(
        service_ms=service_ms, concurrency=concurrency, random=random, spread=spread
    )
    return web.Application(
        [
            (r"/v1/run", _RunHandler, {"state": state, "model": model}),
            (r"/_control", ControlHandler, {"state": state}),
            (r"/_records", _RecordsHandler, {"table": model.table_}),
        ],
        log_function=lambda handler: None,
        leadford_state=state,
        leadford_model=model,
    )
