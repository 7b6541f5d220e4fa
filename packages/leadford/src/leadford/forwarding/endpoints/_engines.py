"""Choose the model engine that is expected to give the first token first.

What counts is the prompt: tokens that are kept at an engine need not be read again,
and every prompt that waits there is read first. What an engine keeps is learned from
own sends. For what other entries sent all of them agree, without a message, on a few
engines for the first part of a prompt, which many prompts share, and on one of these by
the last part that prompts share.

Called for each attempt at a model engine, and when the stages of a request begin, which
are best made in the hall of its engine. Suspects are asked only when nobody else is
left. What an engine's cache holds is a guess: cache events are not read.
"""

from collections.abc import Collection, Sequence

import msgspec

from leadford.common import (
    EndpointId,
    Ewma,
    HallId,
    rendezvous_order,
    rendezvous_weight,
)
from leadford.forwarding.endpoints._pools import EnginePools
from leadford.forwarding.endpoints._prompts import CachedParts, PromptShape
from leadford.forwarding.endpoints._record import EndpointRecord

# Prompt tokens that an engine is taken to read in a millisecond before any is measured.
INITIAL_TOKENS_PER_MS = 20.0
# Weight of the newest prompt in that rate.
RATE_EWMA_WEIGHT = 0.05
# Part of a shared part that an engine of its affinity set is guessed to keep.
CACHED_FRACTION_ESTIMATE = 0.8
# Part of the engines that form the affinity set of a prompt, and how many they are at
# least.
AFFINITY_FRACTION = 1.0 / 3.0
AFFINITY_MIN_ENGINES = 2
# Milliseconds for each token of a shared part that would be read again, beyond the time
# that it takes: it holds up the streams beside it, and takes memory from other parts.
# Measured only together with AFFINITY_PART.
RECOMPUTE_MS_PER_TOKEN = 0.1
# Milliseconds that a prompt of so many tokens counts for that is being read where the
# next one would go: two long ones in a row hold up the streams beside them for longer
# than they may pause. In a replay of 28 long prompts a second at 39 engines 0.2 % met
# another one, 10 % with 0 ms, 20 % where 60 entries choose by themselves.
LONG_PREFILL_MS = 400.0
LONG_PREFILL_TOKENS = 2_000.0
# Milliseconds that another hall counts for, and that each byte moved between halls
# does.
OTHER_HALL_MS = 12.0
TRANSFER_MS_PER_BYTE = 6e-5
# Milliseconds that a running request counts for.
RUNNING_REQUEST_MS = 0.4
# Milliseconds that a failure rate of 1 counts for.
FAILURE_RATE_MS = 400.0
# Tokens that a prompt is taken to have that another entry sent.
MEAN_PROMPT_TOKENS = 2_000.0
# Tokens below which a prompt says nothing of the rate.
RATE_SAMPLE_MIN_TOKENS = 500.0
# Tokens per millisecond between which a measured rate is believed.
MIN_TOKENS_PER_MS = 2.0
MAX_TOKENS_PER_MS = 100.0
# Part of an engine's memory that is taken to hold parts of prompts.
CACHE_MEMORY_FRACTION = 0.6
# Milliseconds that the first engine of the affinity set is ahead.
PREFERRED_BONUS_MS = 10.0


class SentPrompt(msgspec.Struct, frozen=True, eq=False):
    """Hold what was expected of a prompt that was sent to an engine.

    Units: read_tokens are those that the engine is expected to read.
    """

    endpoint_id: EndpointId
    prefill_tokens: float


class EngineChooser:
    """Score engines by prompts that wait, kept parts, running requests and hall."""

    def __init__(self, *, hall: HallId) -> None:
        self.hall = hall
        self.pools = EnginePools()
        self.cached_by_id_: dict[EndpointId, CachedParts] = {}
        self.pending_by_id_: dict[EndpointId, float] = {}
        self.tokens_per_ms_ = Ewma(
            initial=INITIAL_TOKENS_PER_MS, weight=RATE_EWMA_WEIGHT
        )

    def choose(
        self,
        records: Collection[EndpointRecord],
        shape: PromptShape,
        *,
        excluded: Collection[EndpointId] = (),
        bytes_by_hall: dict[HallId, int] | None = None,
        extra_ms_by_hall: dict[HallId, float] | None = None,
        knows_all: bool = False,
        now: float,
    ) -> EndpointRecord | None:
        """Return the best engine; suspects only when nobody else is left.

        With `knows_all` every prompt is sent by this entry or was placed by it, so what
        it has not seen an engine read is not kept there.

        Units: extra_ms_by_hall is what a hall costs for other reasons.
        """
        extra_ms = extra_ms_by_hall or {}
        candidates = self._candidates(records, shape, excluded, now)
        if not candidates:
            return None
        affinity = self._affinity_set(candidates, shape)
        return min(
            candidates,
            key=lambda record: (
                self.expected_ms(
                    record,
                    shape,
                    affinity=affinity,
                    knows_all=knows_all,
                    now=now,
                )
                + self._transfer_ms(record, bytes_by_hall)
                + extra_ms.get(record.listed.hall, 0.0)
            ),
        )

    def _candidates(
        self,
        records: Collection[EndpointRecord],
        shape: PromptShape,
        excluded: Collection[EndpointId],
        now: float,
    ) -> list[EndpointRecord]:
        """Return trusted engines of the pool, or of all, or whatever is left."""
        allowed = [
            record for record in records if record.listed.endpoint_id not in excluded
        ]
        pool = self.pools.members(allowed, shape.pool_key)
        for group in (pool, allowed):
            trusted = [record for record in group if not record.is_suspect(now)]
            if trusted:
                return trusted
        return allowed

    def _transfer_ms(
        self, record: EndpointRecord, bytes_by_hall: dict[HallId, int] | None
    ) -> float:
        """Return what inputs from other halls cost; without any, the own hall leads."""
        hall = record.listed.hall
        if not bytes_by_hall:
            return 0.0 if hall == self.hall else OTHER_HALL_MS
        transferred_bytes = sum(bytes_by_hall.values()) - bytes_by_hall.get(hall, 0)
        return (
            OTHER_HALL_MS * (transferred_bytes > 0)
            + transferred_bytes * TRANSFER_MS_PER_BYTE
        )

    def _affinity_set(
        self, candidates: Sequence[EndpointRecord], shape: PromptShape
    ) -> list[EndpointId]:
        """Return the engines where the shared parts should be, the best first."""
        if not shape.shared:
            return []
        ids = [record.listed.endpoint_id for record in candidates]
        count = max(AFFINITY_MIN_ENGINES, round(len(ids) * AFFINITY_FRACTION))
        affinity = rendezvous_order(shape.shared[0].part_id, ids)[:count]
        last = shape.shared[-1].part_id
        return sorted(affinity, key=lambda name: -rendezvous_weight(last, name))

    def expected_ms(
        self,
        record: EndpointRecord,
        shape: PromptShape,
        *,
        affinity: Sequence[EndpointId],
        knows_all: bool = False,
        now: float,
    ) -> float:
        """Return the time to the first token, with the costs of an engine added."""
        endpoint_id = record.listed.endpoint_id
        cached = self._cached_tokens(record, shape, () if knows_all else affinity)
        tokens = shape.tokens_in - cached
        tokens += self.pending_by_id_.get(record.listed.endpoint_id, 0.0)
        if record.load_ is not None:
            elsewhere = min(record.load_.waiting, record.waiting_elsewhere(now))
            tokens += elsewhere * MEAN_PROMPT_TOKENS
        expected = tokens / self.tokens_per_ms_.value_
        running = record.in_flight_ + record.waiting_elsewhere(now)
        expected += running * RUNNING_REQUEST_MS
        expected += record.failure_rate_.value_ * FAILURE_RATE_MS
        if affinity and endpoint_id != affinity[0]:
            expected += PREFERRED_BONUS_MS
        if (
            knows_all
            and self.pending_by_id_.get(endpoint_id, 0.0) >= LONG_PREFILL_TOKENS
        ):
            expected += LONG_PREFILL_MS
        recomputed_tokens = max(0.0, shape.shared_tokens - cached)
        return expected + recomputed_tokens * RECOMPUTE_MS_PER_TOKEN

    def _cached_tokens(
        self, record: EndpointRecord, shape: PromptShape, affinity: Sequence[EndpointId]
    ) -> float:
        """Return how much of a prompt an engine is expected to keep."""
        endpoint_id = record.listed.endpoint_id
        cached = self.cached_by_id_.get(endpoint_id)
        known = float(cached.cached_tokens(shape)) if cached is not None else 0.0
        if endpoint_id not in affinity:
            return known
        if endpoint_id == affinity[0]:
            return max(known, CACHED_FRACTION_ESTIMATE * shape.shared_tokens)
        return max(known, CACHED_FRACTION_ESTIMATE * shape.shared[0].tokens)

    def record_sent(
        self, record: EndpointRecord, shape: PromptShape, memory_tokens: int
    ) -> SentPrompt:
        """Count a prompt that goes to an engine; hand the result back at its end."""
        endpoint_id = record.listed.endpoint_id
        cached = self.cached_by_id_.setdefault(endpoint_id, CachedParts())
        tokens = float(max(0, shape.tokens_in - cached.cached_tokens(shape)))
        pending = self.pending_by_id_.get(endpoint_id, 0.0)
        for part in shape.parts:
            cached.touch(part, memory_tokens * CACHE_MEMORY_FRACTION)
        self.pending_by_id_[endpoint_id] = pending + tokens
        return SentPrompt(endpoint_id, tokens)

    def record_started(self, sent: SentPrompt) -> None:
        """Count that the prompt has been read, or that its attempt is over."""
        remaining = self.pending_by_id_.get(sent.endpoint_id, 0.0) - sent.prefill_tokens
        if remaining > 0.0:
            self.pending_by_id_[sent.endpoint_id] = remaining
        else:
            self.pending_by_id_.pop(sent.endpoint_id, None)

    def record_first_token(self, sent: SentPrompt, elapsed_ms: float) -> None:
        """Learn how fast prompts are read."""
        if sent.prefill_tokens >= RATE_SAMPLE_MIN_TOKENS and elapsed_ms > 0.0:
            self.tokens_per_ms_.update(
                min(
                    MAX_TOKENS_PER_MS,
                    max(MIN_TOKENS_PER_MS, sent.prefill_tokens / elapsed_ms),
                )
            )

    def retain(self, known: set[EndpointId]) -> None:
        """Forget engines that left."""
        self.pools.retain(known)
        for table in (self.cached_by_id_, self.pending_by_id_):
            for endpoint_id in set(table) - known:
                del table[endpoint_id]
