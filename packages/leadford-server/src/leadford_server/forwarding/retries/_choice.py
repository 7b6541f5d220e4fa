"""Choose the endpoint of an attempt: here, or by the entry that places for all.

Puts what this entry knows to the rules of `leadford.forwarding.endpoints`. The prompts
of a large fleet are placed by one entry, which is asked over `state.placing_`.
"""

import asyncio
from collections.abc import Callable, Sequence

from leadford.common import EndpointId
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.retries import ENDPOINTS_FOR_ANOTHER
from leadford.quarantine import choose_apart
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import RequestInputs

# Seconds between looks for an endpoint while all ask for a pause: others may join.
HELD_LOOK_S = 0.1


class EndpointChoice:
    """Choose the endpoints of one request."""

    def __init__(
        self, *, state: ForwardState, inputs: RequestInputs, progress: RequestProgress
    ) -> None:
        self.state = state
        self.inputs = inputs
        self.progress = progress
        self.tell_read_: Callable[[], None] | None = None

    def choose(self) -> EndpointRecord | None:
        """Return the endpoint that another attempt would ask."""
        state = self.state
        service = self.progress.match_.service
        now = state.now()
        records = self._records()
        tried = self.progress.tried_
        if self.runs_apart:
            return self._choose_apart(records, now)
        if service.engine is not None:
            return state.engines_.choose(
                records,
                self.progress.request.prompt,
                excluded=tried,
                bytes_by_hall=self.inputs.bytes_by_hall(),
                knows_all=self._knows_all(),
                now=now,
            )
        return state.chooser_.choose(records, excluded=tried, now=now)

    def _records(self) -> list[EndpointRecord]:
        """Return the endpoints that take a request of this entry now."""
        service_id = self.progress.match_.service.service_id
        return [r for r in self.state.usable(service_id) if self._may_use(r)]

    def endpoints_left(self) -> int:
        """Return how many endpoints the next attempt may ask; no more than matter."""
        tried = self.progress.tried_
        service_id = self.progress.match_.service.service_id
        left = 0
        for record in self.state.usable(service_id):
            if record.listed.endpoint_id in tried or not self._may_use(record):
                continue
            left += 1
            if left >= ENDPOINTS_FOR_ANOTHER:
                break
        return left

    @property
    def runs_apart(self) -> bool:
        """Tell whether an endpoint has ended under the request before."""
        return self.state.quarantine_.is_suspect(self.progress.digest_)

    def _choose_apart(
        self, records: Sequence[EndpointRecord], now: float
    ) -> EndpointRecord | None:
        """Return an endpoint apart from other requests under suspicion."""
        tried = self.progress.tried_
        left = [r for r in records if r.listed.endpoint_id not in tried]
        trusted = [record for record in left if not record.is_suspect(now)]
        by_id = {record.listed.endpoint_id: record for record in trusted or left}
        suspects_by_id = {
            endpoint_id: record.suspects_in_flight_
            for endpoint_id, record in by_id.items()
        }
        found = choose_apart(suspects_by_id, self.state.random)
        return by_id[found] if found is not None else None

    def _knows_all(self) -> bool:
        """Tell whether this entry places the prompts of all at the service."""
        placing = self.state.placing_
        service = self.progress.match_.service
        if placing is None or not placing.takes(service):
            return False
        return placing.knows_all(service.service_id, self.progress.request.prompt)

    def _is_placed_elsewhere(self) -> bool:
        """Tell whether another entry chooses the endpoint.

        Where a request under suspicion goes is decided at each entry.
        """
        placing = self.state.placing_
        if placing is None or self.runs_apart:
            return False
        return placing.takes(self.progress.match_.service) and not self._knows_all()

    async def choose_by(self, wait_until: float) -> EndpointRecord | None:
        """Return the endpoint to ask, waiting a little while all ask for a pause."""
        service_id = self.progress.match_.service.service_id
        while True:
            record = await self.choose_placed()
            if record is not None:
                return record
            hold_s = self.state.service_hold_s(service_id)
            if hold_s <= 0.0 or self.state.now() + hold_s > wait_until:
                return None
            await asyncio.sleep(min(hold_s, HELD_LOOK_S))

    async def choose_placed(self) -> EndpointRecord | None:
        """Return the endpoint to ask, at engines the one that another entry chose."""
        if not self._is_placed_elsewhere():
            return self.choose()
        placed = await self.state.placing_.place(
            self.progress.match_.service.service_id,
            self.progress.request.prompt,
            excluded={*self.progress.tried_, *self._not_to_be_placed()},
            bytes_by_hall=self.inputs.bytes_by_hall(),
        )
        if placed is None:
            return self.choose()
        if not self._may_use(placed.record):
            # Another request took what the endpoint bears while the answer travelled.
            placed.tell_read()
            return self.choose()
        self.tell_read_ = placed.tell_read
        return placed.record

    def _not_to_be_placed(self) -> set[EndpointId]:
        """Return endpoints that this entry suspects, or may send nothing to now."""
        now = self.state.now()
        return {
            record.listed.endpoint_id
            for record in self.state.usable(self.progress.match_.service.service_id)
            if record.is_suspect(now) or not self._may_use(record)
        }

    def _may_use(self, record: EndpointRecord) -> bool:
        """Tell whether an endpoint takes a request of this entry now.

        A cold or limited one takes it only where this entry has a part of what it bears
        that is not used up.
        """
        if self.state.hold_s(record) > 0.0:
            return False
        limits = self.progress.match_.service.cold_limits
        return self.state.cold_.may_use(record, limits, self.state.now())

    def tell_read(self) -> None:
        """Tell the entry that placed the prompt that it waits there no more."""
        if self.tell_read_ is not None:
            self.tell_read_()
            self.tell_read_ = None
