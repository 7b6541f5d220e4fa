"""Find where a stream may go on that a caller resumes.

Runs before admission, so that a stream that cannot go on is refused before any of its
stages runs. `leadford.forwarding.streams` decides what an origin allows, and
`membership/_origins` finds it.
"""

import msgspec

from leadford.forwarding.answers import EndReason
from leadford.forwarding.streams import StreamOrigin
from leadford_server.forwarding._links_contract import FoundOrigin
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState


class ResumedStream:
    """Find the origin of the stream that one request resumes."""

    def __init__(self, *, state: ForwardState, progress: RequestProgress) -> None:
        self.state = state
        self.progress = progress

    async def find_origin(self) -> EndReason | None:
        """Restrict the request to the origin; return why it cannot go on, if so."""
        if not self.progress.resumes_stream or self.state.stream_origins_ is None:
            return None
        found = await self._find()
        self.progress.origin_source_ = found.source
        if found.origin is None:
            return EndReason.SOFTWARE_UNKNOWN
        self._use(found.origin)
        if not self._has_endpoint(found.origin):
            return EndReason.SOFTWARE_GONE
        return None

    async def _find(self) -> FoundOrigin:
        key = self.progress.stream_key(self.progress.request.resumed_id)
        match = self.progress.match_
        service_ids = [match.service.service_id]
        for part in match.route.services:
            # Another service of a split route may have begun the stream.
            if part.weight > 0.0 and part.service_id not in service_ids:
                service_ids.append(part.service_id)
        return await self.state.stream_origins_.find(key, service_ids)

    def _use(self, origin: StreamOrigin) -> None:
        """Hold the request to an origin, and tell other entries of it again."""
        progress = self.progress
        progress.origin_ = origin
        service_id = origin.service_on(progress.match_.route)
        service = None if service_id is None else self.state.service(service_id)
        if service is not None:
            progress.match_ = msgspec.structs.replace(progress.match_, service=service)
        request = progress.request
        # The entry that began the stream may be gone, and what it told with it.
        key = progress.stream_key(request.resumed_id or request.request_id)
        wait_s = progress.caller_deadline - self.state.now()
        self.state.stream_origins_.record(key, origin, wait_s)

    def _has_endpoint(self, origin: StreamOrigin) -> bool:
        """Return whether an endpoint at which the stream may go on takes new work."""
        usable = self.state.usable(self.progress.match_.service.service_id)
        return any(origin.accepts(record.listed) for record in usable)
