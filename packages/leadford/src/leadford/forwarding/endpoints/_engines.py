"""Choose the model engine with the lowest expected time to the first token.

The prompt dominates that time: tokens in the cache of an engine need no prefill, and
every prompt that waits at an engine is prefilled first. This entry estimates the cache
of an engine from the prompts that it sent there. For the prompts of other entries, all
entries agree without messages: the first part of a prompt, which many prompts share,
selects a few engines, and the last shared part selects one of them.

Called for each attempt at a model engine, and when the stages of a request begin, since
they run best in the hall of its engine. Suspect engines are used only when no other
candidate is left. The content of a cache is an estimate: cache events are not read.
Where engines report a pace, the expected time at each engine is weighted by it.
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
from leadford.forwarding.endpoints._paces import estimate_paces, without_busy_untried
from leadford.forwarding.endpoints._pools import EnginePools
from leadford.forwarding.endpoints._prompts import CachedParts, PromptShape
from leadford.forwarding.endpoints._record import EndpointRecord

# Assumed prefill rate of an engine before the first measurement.
INITIAL_TOKENS_PER_MS = 20.0
# Weight of the newest prompt in the average prefill rate.
RATE_EWMA_WEIGHT = 0.05
# Fraction of a shared part that an engine of its affinity set is assumed to cache.
CACHED_FRACTION_ESTIMATE = 0.8
# Fraction of the engines that form the affinity set of a prompt, and its minimum size.
AFFINITY_FRACTION = 1.0 / 3.0
AFFINITY_MIN_ENGINES = 2
# Cost of each token of a shared part that would be prefilled again, in addition to the
# time that this takes: it delays the streams of the engine and takes cache memory from
# other parts. The value holds only together with that of AFFINITY_FRACTION.
RECOMPUTE_MS_PER_TOKEN = 0.1
# Cost of an engine at which at least LONG_PREFILL_TOKENS wait for prefill: two long
# prompts in a row delay the streams of the engine for longer than they may pause. In a
# replay of 28 long prompts per second at 39 engines, 0.2 % of the prompts had to wait
# for another one; without this cost 10 %, and 20 % where each of 60 entries chooses
# engines on its own.
LONG_PREFILL_MS = 400.0
LONG_PREFILL_TOKENS = 2_000.0
# Cost of another hall, and of each byte transferred between halls.
OTHER_HALL_MS = 12.0
TRANSFER_MS_PER_BYTE = 6e-5
# Cost of each running request.
RUNNING_REQUEST_MS = 0.4
# Cost of a failure rate of 1.
FAILURE_RATE_MS = 400.0
# Assumed length of a prompt that another entry sent.
MEAN_PROMPT_TOKENS = 2_000.0
# Shorter prefills are not used to estimate the prefill rate.
RATE_SAMPLE_MIN_TOKENS = 500.0
# Bounds to which a measured prefill rate is clamped.
MIN_TOKENS_PER_MS = 2.0
MAX_TOKENS_PER_MS = 100.0
# Fraction of an engine's memory that is assumed to cache parts of prompts.
CACHE_MEMORY_FRACTION = 0.6
# Cost of every engine other than the first of the affinity set.
NOT_PREFERRED_MS = 10.0


class SentPrompt(msgspec.Struct, frozen=True, eq=False):
    """Hold the expected prefill of a prompt that was sent to an engine.

    `waits` is true if other prefills were known to be pending there.

    Units: prefill_tokens counts the tokens that the engine is expected to prefill.
    """

    endpoint_id: EndpointId
    prefill_tokens: float
    waits: bool = False


class EngineChooser:
    """Choose engines by waiting prompts, cached parts, running requests and hall."""

    def __init__(self, *, hall: HallId) -> None:
        self.hall = hall
        self.pools = EnginePools()
        self.cached_by_id_: dict[EndpointId, CachedParts] = {}
        self.pending_by_id_: dict[EndpointId, float] = {}
        # Engines at which at least one prefill, or its attempt, has ended.
        self.tried_ids_: set[EndpointId] = set()
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
        places_for_all: bool = False,
        now: float,
    ) -> EndpointRecord | None:
        """Return the engine with the lowest expected cost.

        Suspect engines are considered only when no other candidate is left. With
        `places_for_all`, this entry sends or places every prompt, so an engine caches
        nothing that this entry has not seen it prefill.

        Units: extra_ms_by_hall is the additional cost of a hall for other reasons.
        """
        extra_ms = extra_ms_by_hall or {}
        candidates = self._candidates(records, shape, excluded, now)
        if not candidates:
            return None
        paces = estimate_paces(candidates, now)
        if paces is not None:
            candidates = without_busy_untried(candidates, self._is_busy_untried, now)
        affinity = self._affinity_set(candidates, shape)
        return min(
            candidates,
            key=lambda record: (
                self.expected_ms(
                    record,
                    shape,
                    affinity=affinity,
                    places_for_all=places_for_all,
                    pace=paces[record.listed.endpoint_id] if paces else None,
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
        """Return the engines to choose from.

        These are the trusted engines of the prompt's pool; if there are none, all
        trusted engines; if there are none either, all engines that are not excluded.
        """
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
        """Return the cost of moving inputs to an engine from other halls.

        Without inputs, engines in other halls than that of this entry cost more.
        """
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
        """Return the engines that should cache the shared parts, preferred first."""
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
        places_for_all: bool = False,
        pace: float | None = None,
        now: float,
    ) -> float:
        """Return the expected time to the first token, plus the costs of an engine.

        `pace` is None where no engine reports one; then all engines count as equal.
        """
        endpoint_id = record.listed.endpoint_id
        cached = self._cached_tokens(record, shape, () if places_for_all else affinity)
        tokens = shape.tokens_in - cached
        tokens += self.pending_by_id_.get(record.listed.endpoint_id, 0.0)
        if record.load_ is not None:
            elsewhere = min(record.load_.waiting, record.other_load(now))
            tokens += elsewhere * MEAN_PROMPT_TOKENS
        expected = tokens / self.tokens_per_ms_.value_
        running = record.in_flight_ + record.other_load(now)
        expected += running * RUNNING_REQUEST_MS
        if pace is not None:
            expected *= pace
        expected += record.failure_rate(now) * FAILURE_RATE_MS
        if affinity and endpoint_id != affinity[0]:
            expected += NOT_PREFERRED_MS
        if (
            places_for_all
            and self.pending_by_id_.get(endpoint_id, 0.0) >= LONG_PREFILL_TOKENS
        ):
            expected += LONG_PREFILL_MS
        recomputed_tokens = max(0.0, shape.shared_tokens - cached)
        return expected + recomputed_tokens * RECOMPUTE_MS_PER_TOKEN

    def _cached_tokens(
        self, record: EndpointRecord, shape: PromptShape, affinity: Sequence[EndpointId]
    ) -> float:
        """Return how many tokens of a prompt an engine is expected to have cached."""
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
        """Count a prompt that is sent to an engine.

        The result is passed to `record_prefilled` when the prefill or the attempt ends.
        """
        endpoint_id = record.listed.endpoint_id
        cached = self.cached_by_id_.setdefault(endpoint_id, CachedParts())
        tokens = float(max(0, shape.tokens_in - cached.cached_tokens(shape)))
        pending = self.pending_by_id_.get(endpoint_id, 0.0)
        for part in shape.parts:
            cached.touch(part, memory_tokens * CACHE_MEMORY_FRACTION)
        self.pending_by_id_[endpoint_id] = pending + tokens
        return SentPrompt(endpoint_id, tokens, waits=pending > 0.0)

    def record_prefilled(self, sent: SentPrompt) -> None:
        """Record that the prefill of a prompt, or its attempt, has ended."""
        self.tried_ids_.add(sent.endpoint_id)
        remaining = self.pending_by_id_.get(sent.endpoint_id, 0.0) - sent.prefill_tokens
        if remaining > 0.0:
            self.pending_by_id_[sent.endpoint_id] = remaining
        else:
            self.pending_by_id_.pop(sent.endpoint_id, None)

    def _is_busy_untried(self, record: EndpointRecord) -> bool:
        """Tell whether prefills are pending at an engine that has not completed one."""
        endpoint_id = record.listed.endpoint_id
        is_untried = endpoint_id not in self.tried_ids_
        return is_untried and endpoint_id in self.pending_by_id_

    def record_first_token(self, sent: SentPrompt, elapsed_ms: float) -> None:
        """Update the estimate of the prefill rate."""
        if sent.prefill_tokens >= RATE_SAMPLE_MIN_TOKENS and elapsed_ms > 0.0:
            self.tokens_per_ms_.update(
                min(
                    MAX_TOKENS_PER_MS,
                    max(MIN_TOKENS_PER_MS, sent.prefill_tokens / elapsed_ms),
                )
            )

    def retain(self, known: set[EndpointId]) -> None:
        """Forget the engines that are not in `known`."""
        self.pools.retain(known)
        self.tried_ids_ &= known
        for table in (self.cached_by_id_, self.pending_by_id_):
            for endpoint_id in set(table) - known:
                del table[endpoint_id]
