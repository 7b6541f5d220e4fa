"""Hold the progress of one request.

Owned by the request forwarder, which writes it, except for the fields marked as written
by the attempts or the event relay of the same request. Decides nothing; `_end_log` logs
what it holds.
"""

import msgspec

from leadford.common import EndpointId, RequestId, stable_hash
from leadford.forwarding.admission import StageDelay
from leadford.forwarding.answers import EndReason, RequestOutcome
from leadford.forwarding.endpoints import ListedEndpoint
from leadford.forwarding.overload import NO_DELAY, DelayMark
from leadford.forwarding.retries import RetryReason
from leadford.forwarding.routes import RouteKind, RouteMatch, ServiceId
from leadford.forwarding.streams import StreamContent, StreamKey, StreamOrigin
from leadford.quarantine import (
    NO_DIGEST,
    PromptKeys,
    RequestContent,
    blamable_parts,
)
from leadford_server.forwarding._contract import InboundRequest
from leadford_server.forwarding._links_contract import OriginSource
from leadford_server.logs import NEVER_MS, milliseconds

# Bounds the ids of prompt parts in a log line.
MAX_PROMPT_CHARACTERS = 400


class RequestEnd(msgspec.Struct, frozen=True):
    """Describe how a request ended; status is 0 if no whole answer was written."""

    outcome: RequestOutcome = RequestOutcome.FAILED
    reason: EndReason = EndReason.FAULT
    status: int = 0
    detail: str = ""


class RequestProgress:
    """Hold the state of one request while it is served.

    Units: moments in seconds of the monotonic clock; expected_s counts from the
    caller's sending.
    """

    def __init__(self, *, request: InboundRequest, mark: DelayMark = NO_DELAY) -> None:
        self.request = request
        # When the request began to be served, with the delay of this entry until then.
        self.mark = mark
        self.match_: RouteMatch | None = None
        self.digest_ = NO_DIGEST
        self.prompt_keys_ = PromptKeys(NO_DIGEST)
        self.deadline_ = 0.0
        self.expected_s_ = 0.0
        # The forecast error that the expected response time includes, in seconds.
        self.error_s_ = 0.0
        # The limit of admission for the expected response time, in seconds.
        self.limit_s_ = 0.0
        self.expected_delay_ = StageDelay()
        self.since_first_try_s_ = 0.0
        self.is_late_ = False
        # The priority level that admission used, and the service that lacked capacity.
        self.level_: int | None = None
        self.short_service_id_: ServiceId | None = None
        # Whether a booking was found for this return; None if none was asked for.
        self.has_booking_: bool | None = None
        # The delay reported to a refused caller whose return was booked, in seconds.
        self.booked_s_: float | None = None
        self.input_remakes_ = 0
        self.may_have_run_ = False
        # Whether the current attempt was sent, and nothing says that it did not run.
        self.was_sent_ = False
        self.retry_reason_: RetryReason | None = None
        self.end_ = RequestEnd()
        # Written by the attempts.
        self.tried_endpoint_ids_: list[EndpointId] = []
        # The endpoint that was given up for its silence and may be used again.
        self.readmitted_id_: EndpointId | None = None
        # Whether no other endpoint may run the request any more.
        self.is_bound_ = False
        # The software version of each endpoint that was tried, empty if not known.
        self.tried_software_: list[str] = []
        # The pace of the last endpoint that was tried, as known when the request was
        # sent to it, and the age of that estimate.
        self.pace_: float | None = None
        self.pace_age_s_ = 0.0
        # Written when the answer begins.
        self.first_byte_at_: float | None = None
        self.model_version_: int | None = None
        # Where the stream may go on; None until its first event was passed on.
        self.origin_: StreamOrigin | None = None
        # Who knew the origin of the stream that the caller resumes, if it does so.
        self.origin_source_: OriginSource | None = None
        # Written by the event relay.
        self.last_event_id_: int | None = None
        self.last_event_at_: float | None = None
        # When the first event of the current attempt was passed on.
        self.attempt_event_at_: float | None = None
        self.longest_pause_s_ = 0.0

    @property
    def caller_deadline(self) -> float:
        """Return until when the caller may resume its stream.

        Units: seconds of the monotonic clock.
        """
        request = self.request
        if request.deadline_ms is None:
            return self.deadline_
        return request.received_at + request.deadline_ms / 1_000.0

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has events of the stream already."""
        request = self.request
        if self.match_.route.kind is not RouteKind.STREAM:
            return False
        return request.resumed_id is not None or request.last_event_id is not None

    @property
    def has_events(self) -> bool:
        """Return whether the caller has events, of this try or of one before it."""
        return self.last_event_at_ is not None or self.resumes_stream

    def stream_key(self, request_id: RequestId | None) -> StreamKey:
        """Return the key of the stream that a request began, by the content of this."""
        content = stable_hash(self.request.fingerprint, self.digest_)
        return StreamKey(request_id, StreamContent(f"{content:x}"))

    def record_match(self, match: RouteMatch) -> None:
        """Record the route that was found, and the digest of the request."""
        self.match_ = match
        request = self.request
        content = RequestContent(
            request.method,
            request.host,
            request.target,
            match.workspace_id or "",
            request.body,
        )
        self.digest_ = content.digest()
        part_ids = blamable_parts(part.part_id for part in request.prompt.parts)
        self.prompt_keys_ = PromptKeys(self.digest_, part_ids)

    @property
    def prompt_text(self) -> str:
        """Return the ids of the parts of the prompt, for log lines."""
        text = ",".join(part.part_id for part in self.request.prompt.parts)
        return text[:MAX_PROMPT_CHARACTERS]

    def answering_ms(self, now: float) -> int:
        """Return for how long events of the current attempt have been passed on.

        Units: now in seconds of the monotonic clock; the result in milliseconds, -1 if
        no event was passed on.
        """
        if self.attempt_event_at_ is None:
            return NEVER_MS
        return milliseconds(now - self.attempt_event_at_)

    def record_tried(self, listed: ListedEndpoint) -> None:
        """Record that the request is tried at an endpoint."""
        self.attempt_event_at_ = None
        self.tried_endpoint_ids_.append(listed.endpoint_id)
        self.tried_software_.append(listed.known_software or "")

    @property
    def excluded_endpoint_ids(self) -> list[EndpointId]:
        """Return the endpoints that may not be tried again."""
        return [id_ for id_ in self.tried_endpoint_ids_ if id_ != self.readmitted_id_]

    def forget_tried(self) -> None:
        """Forget the last endpoint, since the request was not tried there after all."""
        self.tried_endpoint_ids_.pop()
        self.tried_software_.pop()

    def record_event_passed_on(self, now: float) -> None:
        """Record that an event was sent to the caller, for the longest pause."""
        if self.last_event_at_ is not None:
            pause_s = now - self.last_event_at_
            self.longest_pause_s_ = max(self.longest_pause_s_, pause_s)
        if self.attempt_event_at_ is None:
            self.attempt_event_at_ = now
        self.last_event_at_ = now

    def record_caller_gone(self) -> None:
        """Record that the caller left, whatever else was recorded before."""
        self.end_ = msgspec.structs.replace(
            self.end_,
            outcome=RequestOutcome.CALLER_GONE,
            reason=EndReason.CALLER_GONE,
        )
