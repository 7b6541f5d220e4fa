"""Run the stages of one request, and hold the results that the request itself reads.

Owns the job of one request, if its route has stages. `leadford.forwarding.batching`
decides when stages are given up, and when an engine has certainly fetched its inputs.
"""

import asyncio

from returns.result import Failure, Result, Success

from leadford.common import HallId
from leadford.forwarding.admission import StageCapacity
from leadford.forwarding.batching import (
    ENGINE_INPUTS_READ_S,
    PieceGraph,
    can_stages_end_in_time,
    engine_fetches_immediately,
    queue_delay_s,
    request_due_at,
    stages_check_at,
)
from leadford.forwarding.endpoints import EndpointRecord, effective_count
from leadford.forwarding.routes import (
    ResultHandle,
    RouteLevels,
    RouteMatch,
    ServiceId,
)
from leadford_server.forwarding._contract import InboundRequest
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._jobs import StageFailure, StageJob
from leadford_server.forwarding.batching._stages import StageRunner
from leadford_server.metrics import STAGE_SECONDS


class RequestInputs:
    """Hold the job that makes the inputs of one request, if its route has stages."""

    def __init__(
        self, *, request: InboundRequest, state: ForwardState, stages: StageRunner
    ) -> None:
        self.request = request
        self.state = state
        self.stages = stages
        self.job_: StageJob | None = None
        # The progress of the request, known once the job is there.
        self.progress_: RequestProgress | None = None
        self.done_at_: float | None = None
        self.attempts_begun_ = 0
        # Whether the inputs of a next attempt were asked for during the current one.
        self.is_preparing_ = False

    def capacities(self, match: RouteMatch) -> dict[ServiceId, StageCapacity]:
        """Return the capacity that each stage of the route can use now."""
        found: dict[ServiceId, StageCapacity] = {}
        now = self.state.now()
        for stage in match.route.stages:
            service = self.state.service(stage.service_id)
            if service is None or service.pieces is None:
                continue
            usable = self.state.usable(stage.service_id)
            trusted = [record for record in usable if not record.is_suspect(now)]
            if not trusted:
                # Those that are only silent will probably go on.
                trusted = [record for record in usable if not record.is_broken(now)]
            found[stage.service_id] = StageCapacity(
                service.pieces, effective_count(trusted, now)
            )
        return found

    def open(self, progress: RequestProgress) -> Result[None, str]:
        """Start a job for the stages of the route, unless there is one already."""
        if self.job_ is not None:
            self._renew_due()
            return Success(None)
        request = self.request
        match = progress.match_
        route = match.route
        graph = PieceGraph.from_counts(route.stages, request.piece_counts or ())
        if isinstance(graph, Failure):
            return graph
        self.progress_ = progress
        self.job_ = StageJob(
            request_id=request.request_id,
            graph=graph.unwrap(),
            request_key=request.request_key,
            levels=RouteLevels.from_route(route, self.state.level_service_ids()),
            delay_s=queue_delay_s(route, match.priority),
            deadline=progress.deadline_,
            due_at=self._due_at(progress),
            is_late=progress.is_late_,
            hall=self._planned_hall(match),
            done=self.state.loop.create_future(),
            digest=progress.digest_,
            is_resumed=progress.has_events,
        )
        self.stages.open(self.job_)
        return Success(None)

    def _renew_due(self) -> None:
        """Let the stages be due anew if they run again for a stream that goes on."""
        if self.progress_.has_events:
            self.job_.is_resumed = True
            self.job_.due_at = self._due_at(self.progress_)

    def _due_at(self, progress: RequestProgress) -> float:
        """Return when the request should be answered, if its stages begin now."""
        return request_due_at(
            progress.match_.route,
            first_try_at=self.request.received_at - progress.since_first_try_s_,
            now=self.state.now(),
            deadline=progress.deadline_,
            is_resumed=progress.has_events,
        )

    def _planned_hall(self, match: RouteMatch) -> HallId:
        """Return the hall of the engine that would be chosen now."""
        state = self.state
        record = state.engines_.choose(
            state.usable(match.service.service_id),
            self.request.prompt,
            extra_ms_by_hall=self.stages.groups.wait_ms_by_hall(
                match.route.stages, self.request.piece_counts
            ),
            now=state.now(),
        )
        return record.listed.hall if record is not None else state.hall

    async def wait_for_stages(self) -> None:
        """Wait for the stages, but give up early if they will not end in time.

        Errors: raises StageFailure.
        """
        received_at = self.request.received_at
        check_at = stages_check_at(received_at, self.job_.deadline)
        if not await self._complete_by(check_at):
            left_s = self.job_.deadline - self.state.now()
            needed_s = self.stages.groups.remaining_s(self.job_.graph)
            if not can_stages_end_in_time(needed_s, left_s):
                raise StageFailure(f"need {needed_s:.2f} s of {left_s:.2f} s")
            await self.stages.complete(self.job_)
        if self.done_at_ is None:
            self.done_at_ = self.state.now()
            STAGE_SECONDS.observe(self.done_at_ - received_at)

    async def _complete_by(self, moment: float) -> bool:
        """Wait for the stages until a moment; return whether they are complete."""
        if self.state.now() >= moment:
            return False
        try:
            async with asyncio.timeout_at(moment):
                await self.stages.complete(self.job_)
        except TimeoutError:
            return False
        return True

    def record_attempt(self) -> None:
        """Count a new attempt, which may need the inputs."""
        self.attempts_begun_ += 1
        self.is_preparing_ = False

    @property
    def is_complete(self) -> bool:
        """Return whether an attempt that begins now has its inputs."""
        return self.job_ is None or self.job_.graph.is_done

    def prepare(self) -> bool:
        """Return whether another attempt has its inputs; begin to make missing ones."""
        if self.is_complete:
            return True
        if not self.is_preparing_:
            self.is_preparing_ = True
            self._renew_due()
            self.stages.begin(self.job_)
        return False

    def end_preparation(self) -> None:
        """Release inputs that were made for an attempt that is not needed.

        Those that are still being made are released with the request.
        """
        if self.is_preparing_ and self.job_.graph.is_done:
            self.release()
        self.is_preparing_ = False

    def handles(self) -> tuple[ResultHandle, ...]:
        """Return the results that the request reads."""
        return self.job_.graph.final_inputs() if self.job_ is not None else ()

    def bytes_by_hall(self) -> dict[HallId, int]:
        """Return how many bytes of the inputs are stored in each hall."""
        return self.stages.bytes_by_hall(self.job_) if self.job_ is not None else {}

    def release_soon(self, record: EndpointRecord) -> None:
        """Release the inputs once an engine without a queue has certainly read them."""
        if self.job_ is None or not engine_fetches_immediately(
            record, self.state.now()
        ):
            return
        self.state.loop.call_later(
            ENGINE_INPUTS_READ_S, self._release_unless_needed, self.attempts_begun_
        )

    def _release_unless_needed(self, attempt: int) -> None:
        """Release the inputs unless another attempt has begun since.

        Attempts are counted when they begin, so a repeated one is another attempt.
        """
        if attempt == self.attempts_begun_ and not self.job_.is_over_:
            self.stages.release(self.job_)

    def release(self) -> None:
        """Release the inputs, which have been read and can be made again."""
        if self.job_ is not None:
            self.stages.release(self.job_)

    def drop_final_inputs(self) -> None:
        """Drop the inputs, because one of them no longer exists."""
        self.stages.drop_final_inputs(self.job_)

    def close(self) -> None:
        """Cancel the waiting pieces and release every result."""
        if self.job_ is not None:
            self.stages.close(self.job_)
