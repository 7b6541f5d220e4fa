"""Stand in for model engines that cache parts of prompts.

The forwarding entry calls them over the platform's protocol. An engine streams numbered
events, resumes after the event that a caller names, and reads its inputs from the
stages that made them.
"""

import asyncio
from collections import OrderedDict

from tornado.httputil import HTTPServerRequest

from leadford_standins.wire._endpoints import PlainStandIn
from leadford_standins.wire._handler import EndpointHandler
from leadford_standins.wire._misbehaviours import Misbehaviour
from leadford_standins.wire._stages import StageStandIn, is_held


class PromptCache:
    """Cache the most recently read parts of prompts, up to `memory_tokens`.

    A part is a cache hit only if every part before it in the prompt is one as well.
    """

    def __init__(self, *, memory_tokens: int) -> None:
        self.memory_tokens = memory_tokens
        self.tokens_by_part_: OrderedDict[str, int] = OrderedDict()
        self.read_tokens_ = 0
        self.read_again_tokens_ = 0
        self.seen_parts_: set[str] = set()

    def read(self, parts: list[tuple[str, int]]) -> None:
        """Read a prompt; count only tokens that are not cached."""
        is_cached = True
        for part, tokens in parts:
            is_cached = is_cached and part in self.tokens_by_part_
            if not is_cached:
                self.read_tokens_ += tokens
                self.read_again_tokens_ += tokens * (part in self.seen_parts_)
            self.seen_parts_.add(part)
            self.tokens_by_part_[part] = tokens
            self.tokens_by_part_.move_to_end(part)
        while sum(self.tokens_by_part_.values()) > self.memory_tokens:
            self.tokens_by_part_.popitem(last=False)


def _parse_prompt_parts(text: str) -> list[tuple[str, int]]:
    pairs = [part.split(":") for part in text.split(",") if part]
    return [(name, int(tokens)) for name, tokens in pairs]


class EngineStandIn(PlainStandIn):
    """Read inputs, then stream numbered events, from after `Last-Event-Id` if given."""

    def __init__(
        self,
        *,
        events: int = 5,
        requires_inputs: bool = True,
        memory_tokens: int = 100_000,
        result_holders: list[StageStandIn] | None = None,
        **fields,
    ) -> None:
        super().__init__(**fields)
        self.events = events
        self.requires_inputs = requires_inputs
        self.pause_s = 0.005
        # The engine refuses requests that expect another version of its weights.
        self.weight_version = 1
        self.result_holders = result_holders or []
        self.kept_ = PromptCache(memory_tokens=memory_tokens)
        # The engine crashes when it answers a prompt with one of these parts, after
        # this number of events.
        self.crash_parts_: set[str] = set()
        self.events_before_crash = 0
        # Whether the engine that replaces this one after a crash has the same id.
        self.keeps_id = False

    def make_replacement(self) -> "EngineStandIn":
        """Return the endpoint that replaces this one, with none of its state."""
        replacement = EngineStandIn(
            events=self.events,
            requires_inputs=self.requires_inputs,
            result_holders=self.result_holders,
            service=self.service,
            hall=self.hall,
        )
        replacement.pause_s = self.pause_s
        replacement.weight_version = self.weight_version
        replacement.crash_bodies_ = self.crash_bodies_
        replacement.crash_parts_ = self.crash_parts_
        replacement.events_before_crash = self.events_before_crash
        replacement.keeps_id = self.keeps_id
        if self.keeps_id:
            replacement.endpoint_id = self.endpoint_id
        return replacement

    def _crashes_on(self, parts: list[tuple[str, int]]) -> bool:
        """Return whether a prompt crashes the engine; its last part never does."""
        return any(part in self.crash_parts_ for part, _ in parts[:-1])

    def event(self, number: int, request: HTTPServerRequest) -> str:
        """Return one event of a stream."""
        return f"id: {number}\ndata: token {number}\n\n"

    def pause_before_event_s(self, request: HTTPServerRequest) -> float:
        """Return how long the engine works on each event of a stream, in seconds."""
        return self.pause_s

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one stream."""
        request = handler.request
        if self.requires_inputs and not request.headers.get("X-Inputs"):
            handler.refuse(400)
            return
        expected = request.headers.get("X-Expect-Version")
        if expected not in (None, str(self.weight_version)):
            handler.refuse(421)
            return
        handles = [h for h in request.headers.get("X-Inputs", "").split(",") if h]
        is_gone = handler.misbehaviour is Misbehaviour.GONE
        if is_gone or not all(
            is_held(handle, self.result_holders) for handle in handles
        ):
            handler.refuse(409)
            return
        handler.record_run()
        parts = _parse_prompt_parts(request.headers.get("X-Prefix-Hash", ""))
        self.kept_.read(parts)
        crashes = self._crashes_on(parts)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        handler.set_header("Content-Type", "text/event-stream")
        handler.set_header("X-Weight-Versions", str(self.weight_version))
        if handler.is_unframed:
            await self._serve_unframed(handler, first)
            return
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_before_event_s(request))
            await self.speaks_.wait()
            if crashes and number == first + self.events_before_crash:
                handler.suppress_answer()
                self.crash()
                return
            if handler.misbehaviour is Misbehaviour.CUT and number == first + 2:
                handler.write(f"id: {number}\ndata: to".encode())
                await handler.flush()
                handler.close_connection()
                return
            if handler.misbehaviour is Misbehaviour.STALL and number == first + 2:
                await asyncio.sleep(3_600)
            handler.write(self.event(number, request).encode())
            await handler.flush()
        handler.finish()

    async def _serve_unframed(self, handler: EndpointHandler, first: int) -> None:
        """Run a stream whose answer has no length; maybe end it inside an event."""
        stream = await handler.begin_unframed()
        is_cut = handler.misbehaviour is Misbehaviour.UNFRAMED_CUT
        is_empty = handler.misbehaviour is Misbehaviour.UNFRAMED_EMPTY
        last = 0 if is_empty else self.events
        for number in range(first, last + 1):
            await asyncio.sleep(self.pause_before_event_s(handler.request))
            await self.speaks_.wait()
            event = self.event(number, handler.request).encode()
            if is_cut and number == first + 2:
                await stream.write(event[:-4])
                break
            await stream.write(event)
        stream.close()
