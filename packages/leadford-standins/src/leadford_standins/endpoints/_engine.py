"""Stand in for a model engine: continuous batching, prefix cache, fenced orders.

Met by the agents of leadford's own interface, through the pages in `_engine_pages`.
"""

import asyncio
import time
from collections import OrderedDict, deque

import msgspec

from leadford_standins.endpoints._records import ExecutionRecord, ExecutionTable
from leadford_standins.endpoints._texts import expected_tokens
from leadford_standins.faults import FaultState

# Streams that are kept after their end, to be resumed.
FINISHED_KEPT = 256
# Cache events of which one is left out, as engines lose some.
CACHE_EVENT_GAP_EVERY = 7
# Seconds by which the load page lags.
LOAD_LAG_S = 0.25


class CompletionCall(msgspec.Struct):
    """Hold an OpenAI-style completion call with the engine's own additions."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    priority: int = 4
    request_id: str = ""
    stage: str = ""
    attempt: int = 0
    prefix: str = ""


class EngineOrder(msgspec.Struct):
    """Hold an order to load or unload a model or to change role."""

    fence: int
    action: str
    model: str = ""
    version: str = "1"
    role: str = ""


class Stream:
    """Hold one generation."""

    def __init__(self, call: CompletionCall, version: str) -> None:
        self.call = call
        self.texts = expected_tokens(version, call.prompt, call.max_tokens)
        self.version = version
        self.prompt_tokens = max(1, len(call.prompt.split()))
        self.cached_tokens = 0
        self.generated_ = 0
        self.accelerator_ms_ = 0.0
        self.cancelled_ = False
        self.changed_ = asyncio.Event()

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more will be generated."""
        return self.cancelled_ or self.generated_ >= len(self.texts)

    def notify(self) -> None:
        """Wake those that read the stream."""
        self.changed_.set()
        self.changed_ = asyncio.Event()


class EngineModel:
    """Batch streams step by step; a fuller batch is slower but cheaper for each.

    Units: step_ms is one decoding step of a batch of one; slope is what each
    further stream adds to it; prefill_ms is for one token that is not cached.
    """

    def __init__(
        self,
        *,
        step_ms: float = 10.0,
        slope: float = 0.04,
        prefill_ms: float = 0.25,
        batch_max: int = 16,
        prefixes_max: int = 64,
        checks_fences: bool = True,
        load_s: float = 0.5,
        models: tuple[str, ...] = (),
    ) -> None:
        self.step_ms = step_ms
        self.slope = slope
        self.prefill_ms = prefill_ms
        self.batch_max = batch_max
        self.prefixes_max = prefixes_max
        self.checks_fences = checks_fences
        self.load_s = load_s
        self.state_ = FaultState()
        self.waiting_: deque[Stream] = deque()
        self.running_: list[Stream] = []
        self.streams_by_id_: OrderedDict[str, Stream] = OrderedDict()
        self.prefixes_: OrderedDict[str, None] = OrderedDict()
        self.cache_events_: deque[tuple[int, str, str]] = deque(maxlen=512)
        self.cache_event_number_ = 0
        self.table_ = ExecutionTable()
        self.versions_by_model_ = dict.fromkeys(models, "1")
        self.fence_ = 0
        self.role_ = "both"
        self.orders_: list[EngineOrder] = []
        self.load_history_: deque[tuple[float, int, int]] = deque(maxlen=64)
        self.task_: asyncio.Task[None] | None = None

    def submit(self, call: CompletionCall) -> Stream:
        """Queue a generation."""
        version = self.versions_by_model_.get(call.model, "1")
        stream = Stream(call, version)
        key = f"{call.request_id}/{call.stage}/{call.attempt}"
        self.streams_by_id_[key] = stream
        while len(self.streams_by_id_) > FINISHED_KEPT + self.batch_max * 4:
            self.streams_by_id_.popitem(last=False)
        self.waiting_.append(stream)
        if self.task_ is None or self.task_.done():
            self.task_ = asyncio.create_task(self._run())
        return stream

    async def _run(self) -> None:
        while self.waiting_ or self.running_:
            await self.state_.hold()
            prefill_ms = self._admit()
            self.running_ = [s for s in self.running_ if not s.is_over]
            if not self.running_:
                continue
            batch = len(self.running_)
            decode_ms = self.step_ms * (1.0 + self.slope * (batch - 1))
            total_ms = (decode_ms + prefill_ms) / max(self.state_.faults.speed, 0.001)
            await asyncio.sleep(total_ms / 1000.0)
            self.table_.busy_ms_ += total_ms
            for stream in self.running_:
                stream.accelerator_ms_ += total_ms / batch
                if not stream.cancelled_:
                    stream.generated_ += 1
                if stream.is_over:
                    self._record(stream)
                stream.notify()
            self.load_history_.append(
                (time.monotonic(), len(self.waiting_), len(self.running_))
            )

    def _admit(self) -> float:
        prefill_ms = 0.0
        while self.waiting_ and len(self.running_) < self.batch_max:
            stream = self.waiting_.popleft()
            if stream.cancelled_:
                continue
            hit = stream.call.prefix and stream.call.prefix in self.prefixes_
            if hit:
                self.prefixes_.move_to_end(stream.call.prefix)
                stream.cached_tokens = int(stream.prompt_tokens * 0.9)
            elif stream.call.prefix:
                self._cache(stream.call.prefix)
            prefill_ms += self.prefill_ms * (
                stream.prompt_tokens - stream.cached_tokens
            )
            self.table_.prefill_tokens_ += stream.prompt_tokens
            self.table_.cached_tokens_ += stream.cached_tokens
            self.running_.append(stream)
        return prefill_ms

    def _cache(self, prefix: str) -> None:
        self.prefixes_[prefix] = None
        self._publish("stored", prefix)
        if len(self.prefixes_) > self.prefixes_max:
            evicted, _ = self.prefixes_.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, kind: str, prefix: str) -> None:
        self.cache_event_number_ += 1
        # Some events are never published, as with the engines stood in for.
        if self.cache_event_number_ % CACHE_EVENT_GAP_EVERY == 0:
            return
        self.cache_events_.append((self.cache_event_number_, kind, prefix))

    def _record(self, stream: Stream) -> None:
        call = stream.call
        self.table_.add(
            ExecutionRecord(
                call.request_id,
                call.stage,
                call.attempt,
                time.time(),
                not stream.cancelled_,
                stream.accelerator_ms_,
            )
        )

    def cancel(self, key: str) -> bool:
        """Stop a generation."""
        stream = self.streams_by_id_.get(key)
        if stream is None or stream.is_over:
            return False
        stream.cancelled_ = True
        self._record(stream)
        stream.notify()
        return True

    def lagging_load(self) -> tuple[int, int]:
        """Return what waited and ran a while ago."""
        limit = time.monotonic() - LOAD_LAG_S
        older = [entry for entry in self.load_history_ if entry[0] <= limit]
        if not older:
            return 0, 0
        _, waiting, running = older[-1]
        return waiting, running

    async def order(self, order: EngineOrder) -> bool:
        """Obey an order unless its fence is old; engines may not check."""
        if self.checks_fences and order.fence < self.fence_:
            return False
        self.fence_ = max(self.fence_, order.fence)
        self.orders_.append(order)
        if order.action == "load":
            await asyncio.sleep(self.load_s)
            self.versions_by_model_[order.model] = order.version
        elif order.action == "unload":
            self.versions_by_model_.pop(order.model, None)
        elif order.action == "role":
            self.role_ = order.role
        return True
