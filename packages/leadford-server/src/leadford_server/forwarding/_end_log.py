"""Count and log how one request ended, from what its progress holds.

docs/OPERATIONS.md says what the fields of the line mean.
"""

from collections.abc import Sequence

from leadford.events import Event
from leadford.forwarding.routes import Route, RouteMatch, ServiceId
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.logs import EventLog, milliseconds
from leadford_server.metrics import FORWARD_SECONDS, FORWARDED_TOTAL

# Bounds the free text in a log line.
MAX_DETAIL_CHARACTERS = 160
# Logged if the expected time is infinite, because there is no endpoint.
EXPECTED_LOGGED_MAX_S = 1e6
# Logged as the level of a request that admission did not decide on.
NO_LEVEL = -1
# Logged as the last event of a request that resumes no stream.
NO_EVENT = -1
# What the log says in `claim`, by whether a booking was found; None if not asked.
CLAIM_TEXTS = {None: "", True: "kept", False: "none"}


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
        expected_ms=milliseconds(expected_s),
        error_ms=milliseconds(progress.error_s_),
        limit_ms=milliseconds(progress.limit_s_),
        caller_ms=request.deadline_ms or 0.0,
        **_booking_fields(progress),
        pause_ms=milliseconds(progress.longest_pause_s_),
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
        "booked_ms": milliseconds(progress.booked_s_),
        "claim": CLAIM_TEXTS[progress.has_booking_],
    }


def _admission_fields(progress: RequestProgress) -> dict[str, int | str]:
    """Return the log fields for the level, the delay and the short service."""
    delay = progress.expected_delay_
    return {
        "delay_ms": milliseconds(min(delay.delay_s, EXPECTED_LOGGED_MAX_S)),
        "delay_at": delay.service_id or "",
        "level": NO_LEVEL if progress.level_ is None else progress.level_,
        "short_of": progress.short_service_id_ or "",
    }


def _pace_fields(progress: RequestProgress) -> dict[str, float | int]:
    """Return the log fields for the pace of the last endpoint, if it reports one."""
    if progress.pace_ is None:
        return {}
    age_ms = milliseconds(progress.pace_age_s_)
    return {"pace": round(progress.pace_, 2), "pace_age_ms": age_ms}


def _elapsed_ms(moment: float | None, since: float) -> int:
    """Return the time of a moment since another one, for the log."""
    return milliseconds(None if moment is None else moment - since)


def _piece_counts(route: Route, counts: Sequence[int] | None) -> str:
    """Return how many pieces the stages of a request need of each service."""
    pieces_by_service: dict[ServiceId, int] = {}
    for stage, count in zip(route.stages, counts or (), strict=False):
        known = pieces_by_service.get(stage.service_id, 0)
        pieces_by_service[stage.service_id] = known + count
    return " ".join(f"{name}:{count}" for name, count in pieces_by_service.items())
