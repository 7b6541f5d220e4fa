"""Stand in for model engines, with the parts of prompts that they keep.

Met by the forwarding entry on the platform's wire. An engine streams numbered events,
goes on after the event that a caller names, and fetches its inputs from the stages that
made them.
"""

import asyncio
from collections import OrderedDict

from tornado.httputil import HTTPServerRequest

from leadford_standins.wire._endpoints import (
    EndpointHandler,
    Misbehaviour,
    PlainStandIn,
    StageStandIn,
    is_held,
)


class KeptParts:
    """Keep the parts of prompts that were read last, up to a memory.

    A part counts as kept if every part before it in the prompt is kept as well.
    """

    def __init__(self, *, memory_tokens: int) -> None:
        self.memory_tokens = memory_tokens
        self.tokens_by_part_: OrderedDict[str, int] = OrderedDict()
        self.read_tokens_ = 0
        self.read_again_tokens_ = 0
        self.ever_read_: set[str] = set()

    def read(self, parts: list[tuple[str, int]]) -> None:
        """Read a prompt; what is kept is not read again."""
        is_kept = True
        for part, tokens in parts:
            is_kept = is_kept and part in self.tokens_by_part_
            if not is_kept:
                self.read_tokens_ += tokens
                self.read_again_tokens_ += tokens * (part in self.ever_read_)
            self.ever_read_.add(part)
            self.tokens_by_part_[part] = tokens
            self.tokens_by_part_.move_to_end(part)
        while sum(self.tokens_by_part_.values()) > self.memory_tokens:
            self.tokens_by_part_.popitem(last=False)


def _prompt_parts(text: str) -> list[tuple[str, int]]:
    pairs = [part.split(":") for part in text.split(",") if part]
    return [(name, int(tokens)) for name, tokens in pairs]


class EngineStandIn(PlainStandIn):
    """Stream numbered events; go on after `Last-Event-Id`; fetch inputs first."""

    def __init__(
        self,
        *,
        events: int = 5,
        wants_inputs: bool = True,
        memory_tokens: int = 100_000,
        makers: list[StageStandIn] | None = None,
        **fields,
    ) -> None:
        super().__init__(**fields)
        self.events = events
        self.wants_inputs = wants_inputs
        self.pause_s = 0.005
        self.makers = makers or []
        self.kept_ = KeptParts(memory_tokens=memory_tokens)

    def another_start(self) -> "EngineStandIn":
        """Return what comes in place of one that ended; it holds nothing of before."""
        again = EngineStandIn(
            events=self.events,
            wants_inputs=self.wants_inputs,
            makers=self.makers,
            service=self.service,
            hall=self.hall,
        )
        again.pause_s = self.pause_s
        again.ends_on_ = self.ends_on_
        return again

    def event(self, number: int, request: HTTPServerRequest) -> str:
        """Return one event of a stream."""
        return f"id: {number}\ndata: token {number}\n\n"

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one stream."""
        request = handler.request
        if self.wants_inputs and not request.headers.get("X-Inputs"):
            handler.refuse(400)
            return
        handles = [h for h in request.headers.get("X-Inputs", "").split(",") if h]
        is_gone = handler.misbehaviour is Misbehaviour.GONE
        if is_gone or not all(is_held(handle, self.makers) for handle in handles):
            handler.refuse(409)
            return
        handler.record_run()
        self.kept_.read(_prompt_parts(request.headers.get("X-Prefix-Hash", "")))
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        handler.set_header("Content-Type", "text/event-stream")
        handler.set_header("X-Weight-Versions", "1")
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            if handler.misbehaviour is Misbehaviour.CUT and number == first + 2:
                handler.write(f"id: {number}\ndata: to".encode())
                await handler.flush()
                handler.drop()
                return
            if handler.misbehaviour is Misbehaviour.STALL and number == first + 2:
                await asyncio.sleep(3_600)
            handler.write(self.event(number, request).encode())
            await handler.flush()
        handler.finish()
