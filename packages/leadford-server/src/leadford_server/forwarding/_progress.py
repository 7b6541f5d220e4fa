"""Hold the progress of one request, and log how it ended.

Owned by the request forwarder, which writes it, except for the fields marked as written
by the attempts or the event relay of the same request. Decides nothing.
"""

from collections.abc import Sequence

import msgspec

from leadford.common import EndpointId, RequestId, stable_hash
from leadford.events import Event
from leadford.forwarding.answers import EndReason, RequestOutcome
from leadford.forwarding.endpoints import ListedEndpoint
from leadford.forwarding.overload import NO_DELAY, DelayMark
from leadford.forwarding.retries import RetryReason
from leadford.forwarding.routes import Route, RouteKind, RouteMatch, ServiceId
from leadford.forwarding.streams import StreamContent, StreamKey, StreamOrigin
from leadford.quarantine import (
    NO_DIGEST,
    PromptKeys,
    RequestContent,
    blamable_parts,
)
from leadford_server.forwarding._contract import InboundRequest
from leadford_server.forwarding._links_contract import OriginSource
from leadford_server.logs import EventLog
from leadford_server.metrics import FORWARD_SECONDS, FORWARDED_TOTAL

# Bounds the free text in a log line.
MAX_DETAIL_CHARACTERS = 160
# Bounds the ids of prompt parts in a log line.
MAX_PROMPT_CHARACTERS = 400
# Logged if the expected time is infinite, because there is no endpoint.
EXPECTED_LOGGED_MAX_S = 1e6
# Logged as the level of a request that admission did not decide on.
NO_LEVEL = -1
# Logged as the last event of a request that resumes no stream.
NO_EVENT = -1
# Logged for a moment that did not occur.
NEVER_MS = -1
# What the log says in `claim`, by whether a booking was found; None if not asked.
CLAIM_TEXTS = {None: "", True: "kept", False: "none"}


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
        return _elapsed_ms(now, self.attempt_event_at_)

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


def log_end(
    progress: RequestProgress,
    *,
    stages_done_at: float | None,
    closed_by: str,
    now: float,
    log: EventLog,
) -> None:
    """Count and log how a request ended.

    `closed_by` says who closed the connection of the caller, if it is closed.
    """
    request = progress.request
    match = progress.match_
    end = progress.end_
    first = progress.first_byte_at_
    kind = match.route.kind.value if match else "none"
    FORWARDED_TOTAL.labels(kind=kind, end=end.outcome.value).inc()
    if first is not None:
        FORWARD_SECONDS.labels(kind=kind).observe(first - request.received_at)
    expected_s = min(progress.expected_s_, EXPECTED_LOGGED_MAX_S)
    retry_reason = progress.retry_reason_
    log.report(
        Event.FORWARD_ENDED,
        request=request.request_id,
        **_match_fields(match, request.piece_counts),
        fingerprint=request.fingerprint,
        digest=progress.digest_,
        prompt=progress.prompt_text,
        endpoints=",".join(progress.tried_endpoint_ids_),
        **_stream_fields(progress),
        **_pace_fields(progress),
        status=end.status,
        outcome=end.outcome.value,
        reason=end.reason.value,
        retry=retry_reason.value if retry_reason is not None else "",
        detail=end.detail[:MAX_DETAIL_CHARACTERS],
        closed_by=closed_by,
        expected_ms=round(expected_s * 1_000.0),
        error_ms=round(progress.error_s_ * 1_000.0),
        limit_ms=round(progress.limit_s_ * 1_000.0),
        caller_ms=request.deadline_ms or 0.0,
        **_booking_fields(progress),
        pause_ms=round(progress.longest_pause_s_ * 1_000.0),
        stages_ms=_elapsed_ms(stages_done_at, request.received_at),
        first_ms=_elapsed_ms(first, request.received_at),
        took_ms=_elapsed_ms(now, request.received_at),
        **_admission_fields(progress),
    )


def _match_fields(
    match: RouteMatch | None, counts: Sequence[int] | None
) -> dict[str, str | int | float]:
    """Return the log fields for the route that was found; the same names if none.

    `work` is the number of pieces that the stages need of each service.
    """
    return {
        "route": match.route.route_id if match else "",
        "version": match.version if match else 0,
        "workspace": (match.workspace_id or "") if match else "",
        "aim_ms": match.route.aim_ms if match else 0.0,
        "gap_aim_ms": match.route.gap_aim_ms if match else 0.0,
        "work": _piece_counts(match.route, counts) if match else "",
    }


def _stream_fields(progress: RequestProgress) -> dict[str, str | int]:
    """Return the log fields of a stream: its software, and what it resumes."""
    request = progress.request
    last_event_id = request.last_event_id
    origin = progress.origin_
    source = progress.origin_source_
    return {
        "software": ",".join(progress.tried_software_),
        "resumes": request.resumed_id or "",
        "origin": (origin.software or "") if origin is not None else "",
        "origin_from": source.value if source is not None else "",
        "after_event": NO_EVENT if last_event_id is None else last_event_id,
    }


def _booking_fields(progress: RequestProgress) -> dict[str, int | str]:
    """Return the log fields for what was booked or claimed for the request."""
    return {
        "booked_ms": _elapsed_ms(progress.booked_s_, 0.0),
        "claim": CLAIM_TEXTS[progress.has_booking_],
    }


def _admission_fields(progress: RequestProgress) -> dict[str, int | str]:
    """Return the log fields for the level and the short service of the decision."""
    return {
        "level": NO_LEVEL if progress.level_ is None else progress.level_,
        "short_of": progress.short_service_id_ or "",
    }


def _pace_fields(progress: RequestProgress) -> dict[str, float | int]:
    """Return the log fields for the pace of the last endpoint, if it reports one."""
    if progress.pace_ is None:
        return {}
    age_ms = round(progress.pace_age_s_ * 1_000.0)
    return {"pace": round(progress.pace_, 2), "pace_age_ms": age_ms}


def _elapsed_ms(moment: float | None, since: float) -> int:
    return NEVER_MS if moment is None else round((moment - since) * 1_000.0)


def _piece_counts(route: Route, counts: Sequence[int] | None) -> str:
    """Return how many pieces the stages of a request need of each service."""
    pieces_by_service: dict[ServiceId, int] = {}
    for stage, count in zip(route.stages, counts or (), strict=False):
        known = pieces_by_service.get(stage.service_id, 0)
        pieces_by_service[stage.service_id] = known + count
    return " ".join(f"{name}:{count}" for name, count in pieces_by_service.items())
