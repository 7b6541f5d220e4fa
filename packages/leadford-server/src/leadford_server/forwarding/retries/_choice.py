"""Choose the endpoint of an attempt, at this entry or by asking the placing entry.

Applies the rules of `leadford.forwarding.endpoints` to what this entry knows. In a
large fleet one entry places the prompts of all entries; it is asked through
`state.placing_`.
"""

import asyncio
from collections.abc import Callable, Sequence

from leadford.common import EndpointId
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.retries import MIN_ENDPOINTS_FOR_RETRY
from leadford.quarantine import QuarantineAction, choose_apart
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import RequestInputs

# Seconds between checks for an endpoint while all ask for a pause; new endpoints may
# join meanwhile.
HELD_POLL_INTERVAL_S = 0.1


class EndpointChoice:
    """Choose the endpoints of one request."""

    def __init__(
        self, *, state: ForwardState, inputs: RequestInputs, progress: RequestProgress
    ) -> None:
        self.state = state
        self.inputs = inputs
        self.progress = progress
        self.report_prefilled_: Callable[[], None] | None = None

    def choose(self) -> EndpointRecord | None:
        """Return the endpoint that this entry chooses for another attempt."""
        state = self.state
        service = self.progress.match_.service
        now = state.now()
        records = self._records()
        tried = self.progress.excluded_endpoint_ids
        if self.runs_apart:
            return self._choose_apart(records, now)
        if service.engine is not None:
            return state.engines_.choose(
                records,
                self.progress.request.prompt,
                excluded=tried,
                bytes_by_hall=self.inputs.bytes_by_hall(),
                places_for_all=self.places_for_all,
                now=now,
            )
        return state.chooser_.choose(records, excluded=tried, now=now)

    def _records(self) -> list[EndpointRecord]:
        """Return the endpoints that accept a request of this entry now."""
        service_id = self.progress.match_.service.service_id
        return [r for r in self.state.usable(service_id) if self._may_use(r)]

    def endpoints_left(self) -> int:
        """Return how many endpoints the next attempt may use.

        The count stops at `MIN_ENDPOINTS_FOR_RETRY`; a larger one makes no difference.
        """
        tried = self.progress.excluded_endpoint_ids
        service_id = self.progress.match_.service.service_id
        count = 0
        for record in self.state.usable(service_id):
            if record.listed.endpoint_id in tried or not self._may_use(record):
                continue
            count += 1
            if count >= MIN_ENDPOINTS_FOR_RETRY:
                break
        return count

    def has_better(self) -> bool:
        """Return whether there is an endpoint to try that promises to answer.

        It is not suspect, reports no request that waits, and has a connection free.
        """
        now = self.state.now()
        tried = self.progress.excluded_endpoint_ids
        service = self.progress.match_.service
        for record in self.state.usable(service.service_id):
            if record.listed.endpoint_id in tried or record.is_suspect(now):
                continue
            if record.reports_waiting(now) or not self._may_use(record):
                continue
            if self.state.pool_.has_room(record, service.connections_max):
                return True
        return False

    @property
    def runs_apart(self) -> bool:
        """Return whether the request is suspected of crashing endpoints."""
        verdict = self.state.quarantine_verdict(self.progress.prompt_keys_)
        return verdict.action is QuarantineAction.RUN_APART

    def _choose_apart(
        self, records: Sequence[EndpointRecord], now: float
    ) -> EndpointRecord | None:
        """Return an endpoint with the fewest other suspected requests."""
        tried = self.progress.excluded_endpoint_ids
        untried = [r for r in records if r.listed.endpoint_id not in tried]
        trusted = [record for record in untried if not record.is_suspect(now)]
        by_id = {record.listed.endpoint_id: record for record in trusted or untried}
        suspects_by_id = {
            endpoint_id: record.suspect_requests_in_flight_
            for endpoint_id, record in by_id.items()
        }
        chosen_id = choose_apart(suspects_by_id, self.state.random)
        return by_id[chosen_id] if chosen_id is not None else None

    @property
    def places_for_all(self) -> bool:
        """Return whether this entry places the prompts of all entries."""
        placing = self.state.placing_
        service = self.progress.match_.service
        if placing is None or not placing.places_service(service):
            return False
        return placing.places_for_all(service.service_id, self.progress.request.prompt)

    def _is_placed_elsewhere(self) -> bool:
        """Return whether another entry chooses the endpoint.

        Each entry chooses the endpoints for its own suspected requests.
        """
        placing = self.state.placing_
        if placing is None or self.runs_apart:
            return False
        return (
            placing.places_service(self.progress.match_.service)
            and not self.places_for_all
        )

    async def choose_by(self, wait_until: float) -> EndpointRecord | None:
        """Return the endpoint to use, waiting while all ask for a pause.

        Returns None if there is none or if the pause lasts beyond `wait_until`.

        Units: wait_until in seconds of the monotonic clock.
        """
        service_id = self.progress.match_.service.service_id
        while True:
            record = await self.choose_placed()
            if record is not None:
                return record
            send_delay_s = self.state.service_send_delay_s(
                service_id, self.progress.origin_
            )
            if send_delay_s <= 0.0 or self.state.now() + send_delay_s > wait_until:
                return None
            await asyncio.sleep(min(send_delay_s, HELD_POLL_INTERVAL_S))

    async def choose_placed(self) -> EndpointRecord | None:
        """Return the endpoint to use, chosen by the placing entry if there is one."""
        if not self._is_placed_elsewhere():
            return self.choose()
        placed = await self.state.placing_.place(
            self.progress.match_.service.service_id,
            self.progress.request.prompt,
            excluded={
                *self.progress.excluded_endpoint_ids,
                *self._excluded_from_placement(),
            },
            bytes_by_hall=self.inputs.bytes_by_hall(),
        )
        if placed is None:
            return self.choose()
        if not self._may_use(placed.record):
            # The endpoint reached its limit while the answer was under way.
            placed.report_prefilled()
            return self.choose()
        self.report_prefilled_ = placed.report_prefilled
        return placed.record

    def _excluded_from_placement(self) -> set[EndpointId]:
        """Return endpoints that this entry suspects or may not send to now."""
        now = self.state.now()
        return {
            record.listed.endpoint_id
            for record in self.state.usable(self.progress.match_.service.service_id)
            if record.is_suspect(now) or not self._may_use(record)
        }

    def _may_use(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint accepts a request of this entry now.

        A cold or rate-limited endpoint accepts it only while this entry has not used up
        its share of the limit.
        """
        progress = self.progress
        is_readmitted = record.listed.endpoint_id == progress.readmitted_id_
        if progress.is_bound_ and not is_readmitted:
            return False
        if not self.fits_stream(record):
            return False
        if self.state.send_delay_s(record) > 0.0:
            return False
        limits = self.progress.match_.service.cold_limits
        return self.state.cold_endpoints_.may_use(record, limits, self.state.now())

    def fits_stream(self, record: EndpointRecord) -> bool:
        """Return whether the stream, if it has begun, may go on at an endpoint."""
        origin = self.progress.origin_
        return origin is None or origin.accepts(record.listed)

    def report_prefilled(self) -> None:
        """Notify the placing entry that the prompt no longer waits at its engine."""
        if self.report_prefilled_ is not None:
            self.report_prefilled_()
            self.report_prefilled_ = None
