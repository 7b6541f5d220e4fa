"""Stand in for the endpoints of batched stages.

The entry that schedules a group calls them with batches of pieces. Each holds results
for other stages and for engines until they are released.
"""

import asyncio
import json

from tornado import iostream

from leadford_standins.wire._endpoints import PlainStandIn, next_id
from leadford_standins.wire._handler import EndpointHandler
from leadford_standins.wire._misbehaviours import Misbehaviour


def is_held(handle: str, result_holders: "list[StageStandIn]") -> bool:
    """Return whether one of the holders has a result; True if there are none."""
    return not result_holders or any(
        handle in holder.results_ for holder in result_holders
    )


class StageStandIn(PlainStandIn):
    """Make pieces in batches, one call at a time, and hold at most `room` results.

    A call reads its inputs from their holders when it starts to run. It takes `call_s`
    seconds, and `item_s` more for each piece.
    """

    def __init__(
        self,
        *,
        call_s: float = 0.02,
        item_s: float = 0.0,
        room: int = 1_000,
        result_holders: "list[StageStandIn] | None" = None,
        **fields,
    ) -> None:
        super().__init__(**fields)
        self.call_s = call_s
        self.item_s = item_s
        self.room = room
        self.result_holders = result_holders if result_holders is not None else []
        self.gone_ = 0
        self.without_room_count_ = 0
        self.max_results_ = 0
        self.results_read_ = 0
        self.freed_in_call_ = 0
        self.waiting_ = 0
        self.call_lock_ = asyncio.Lock()
        self.results_: set[str] = set()
        self.items_: list[dict] = []
        self.batch_sizes_: list[int] = []
        # The endpoint crashes as soon as it makes a piece with one of these keys.
        self.crash_keys_: set[str] = set()
        # The request and the stage that each result was made for.
        self.stage_by_handle_: dict[str, tuple[str, int]] = {}
        # Answers that come once more where the next one of their connection is due.
        self.repeated_by_stream_: dict[iostream.IOStream, bytes] = {}

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one call for a batch of pieces, or release results."""
        body = json.loads(handler.request.body)
        if handler.request.path.endswith("stage-free"):
            released = self.results_ & set(body["kvHandles"])
            self.results_ -= released
            if any(holder.call_lock_.locked() for holder in self.result_holders):
                self.freed_in_call_ += len(released)
            handler.finish({})
            return
        stream = handler.request.connection.stream
        repeated = self.repeated_by_stream_.pop(stream, b"")
        if repeated:
            await stream.write(repeated)
        self.waiting_ += 1
        async with self.call_lock_:
            self.waiting_ -= 1
            keys = {item.get("privateKey", "") for item in body["items"]}
            if keys & self.crash_keys_:
                self.batch_sizes_.append(len(body["items"]))
                handler.suppress_answer()
                self.crash()
                return
            items = [
                self._make_piece(
                    item, is_gone=handler.misbehaviour is Misbehaviour.GONE
                )
                for item in body["items"]
            ]
            await asyncio.sleep(self.call_s + len(items) * self.item_s)
            await self.speaks_.wait()
        self.batch_sizes_.append(len(items))
        load = f"{int(self.call_lock_.locked())},{self.waiting_},1{self.load_suffix_}"
        handler.set_header("X-Server-Load", load)
        if handler.misbehaviour is Misbehaviour.REPEAT_ANSWER:
            self.repeated_by_stream_[stream] = _raw_answer({"items": items})
        handler.finish({"items": items})

    def _make_piece(self, item: dict, *, is_gone: bool) -> dict:
        """Read the inputs of a piece, reserve room for its result and make it."""
        inputs = item.get("inputs", [])
        if is_gone or not all(
            is_held(handle, self.result_holders) for handle in inputs
        ):
            self.gone_ += 1
            return {"reason": "gone"}
        self.results_read_ += len(inputs)
        if len(self.results_) >= self.room:
            self.without_room_count_ += 1
            return {"reason": "room"}
        self.items_.append(item)
        handle = f"{self.address_}/{next_id():x}"
        self.results_.add(handle)
        self.stage_by_handle_[handle] = (item["id"], item["stage"])
        self.max_results_ = max(self.max_results_, len(self.results_))
        return {"kvHandle": handle}

    def make_replacement(self) -> "StageStandIn":
        """Return the endpoint that replaces this one, with none of its state."""
        replacement = StageStandIn(
            call_s=self.call_s,
            item_s=self.item_s,
            room=self.room,
            result_holders=self.result_holders,
            service=self.service,
            hall=self.hall,
        )
        replacement.crash_keys_ = self.crash_keys_
        return replacement


def _raw_answer(fields: dict) -> bytes:
    """Return the bytes of a whole answer with a JSON body."""
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
