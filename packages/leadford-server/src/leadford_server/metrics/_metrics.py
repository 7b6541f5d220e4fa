"""Define the metrics and the HTTP handler that exposes them.

All metrics of both programs are defined here, so that each name is used only once. Each
program updates only the metrics that apply to it.
"""

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from tornado import web

_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 5.0, 15.0)

# Finest around 3 to 5 s, the time that deployments allow entries to catch up with the
# store.
_GAP_SECONDS = (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 5.0, 7.0, 10.0, 15.0, 30.0)

_DISPATCH_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3)
_FILL_BUCKETS = (0.1, 0.25, 0.5, 0.7, 0.85, 0.95, 1.0)
_PACE_BUCKETS = (0.3, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0)

EVENTS_TOTAL = Counter("leadford_events_total", "Events by name.", ["event"])
REQUESTS_TOTAL = Counter(
    "leadford_requests_total",
    "Requests by pipeline, outcome and reason.",
    ["pipeline", "outcome", "reason"],
)
REQUEST_SECONDS = Histogram(
    "leadford_request_seconds", "Whole requests.", ["pipeline"], buckets=_BUCKETS_S
)
FIRST_TOKEN_SECONDS = Histogram(
    "leadford_first_token_seconds", "First tokens.", ["pipeline"], buckets=_BUCKETS_S
)
TOKENS_TOTAL = Counter("leadford_tokens_total", "Tokens relayed to callers.")
ATTEMPTS_TOTAL = Counter(
    "leadford_attempts_total", "Attempts by stage and end.", ["stage", "end"]
)
RETRIES_TOTAL = Counter("leadford_retries_total", "Retries by stage.", ["stage"])
STRAYS_TOTAL = Counter("leadford_strays_total", "Dropped answers by kind.", ["kind"])
COST_MS_TOTAL = Counter(
    "leadford_cost_ms_total", "Endpoint time by stage and use.", ["stage", "use"]
)
STORE_CALLS_TOTAL = Counter(
    "leadford_store_calls_total", "Calls to the store.", ["kind", "end"]
)
STORE_CHANGES_TOTAL = Counter(
    "leadford_store_changes_total",
    "Changes that the store told, taken or held for known.",
    ["kind", "end"],
)
STORE_CONFIRM_GAP_SECONDS = Histogram(
    "leadford_store_confirm_gap_seconds",
    "Time between two answers of the store that say what is newest of a kind.",
    ["kind"],
    buckets=_GAP_SECONDS,
)
ADMISSION_TOTAL = Counter(
    "leadford_admission_total",
    "Requests with stages that admission judged, by level of priority (0 is the most "
    "urgent) and verdict.",
    ["level", "verdict"],
)
RETURNS_TOTAL = Counter(
    "leadford_returns_total",
    "Requests that came before, by what shows it: a refusal that was heard of, or only "
    "what the caller announces.",
    ["known_by"],
)
BOOKINGS_TOTAL = Counter(
    "leadford_bookings_total",
    "Bookings for refused callers at the scheduler of a service, by what became of "
    "them; elsewhere, queries that the scheduler did not answer in time.",
    ["end"],
)
STREAM_ORIGINS_TOTAL = Counter(
    "leadford_stream_origins_total",
    "Streams that callers resumed, by who knew the software version that began them.",
    ["source"],
)
PLACED_TOTAL = Counter(
    "leadford_placed_total",
    "Prompts whose engine another entry was asked for, by what it said.",
    ["end"],
)
RELAYED_NEWS_TOTAL = Counter(
    "leadford_relayed_news_total",
    "Changes of the store heard from another entry, taken or not fitting.",
    ["kind", "end"],
)
UNREADABLE_RECORDS_TOTAL = Counter(
    "leadford_unreadable_records_total",
    "Records of the store or a peer that could not be read and were passed over.",
)
MALFORMED_REPORTS_TOTAL = Counter(
    "leadford_malformed_reports_total",
    "Reports of endpoints on themselves, or of entries on endpoints, with an invalid "
    "figure; the valid ones of an endpoint were used.",
    ["service"],
)
STORE_BYTES_TOTAL = Counter(
    "leadford_store_bytes_total",
    "Bytes of answers of the store; those of a lost answer are fetched again.",
    ["end"],
)
NEWS_BYTES_TOTAL = Counter(
    "leadford_news_bytes_total",
    "Bytes of configurations and listings between entries.",
    ["kind", "direction"],
)
PEER_BYTES_TOTAL = Counter(
    "leadford_peer_bytes_total", "Bytes of frames between processes.", ["direction"]
)
PEER_FRAMES_TOTAL = Counter(
    "leadford_peer_frames_total", "Frames between processes.", ["direction"]
)
PEER_MESSAGES_SKIPPED_TOTAL = Counter(
    "leadford_peer_messages_skipped_total",
    "Messages of peers that this build does not know.",
)
CRASH_CASES_TOTAL = Counter(
    "leadford_crash_cases_total",
    "Connections that an endpoint closed under a request, by who saw it.",
    ["seen"],
)
QUARANTINED_WORKS = Gauge(
    "leadford_quarantined_works", "Requests that are sent to no endpoint."
)
PROMPT_CASES_TOTAL = Counter(
    "leadford_prompt_cases_total",
    "Runs of prompts that ended with their endpoint, by who saw it.",
    ["seen"],
)
QUARANTINED_PARTS = Gauge(
    "leadford_quarantined_parts", "Prompt parts whose requests are sent to no endpoint."
)
BUSIEST_FRACTION = Gauge(
    "leadford_busiest_entry_fraction",
    "Fraction of all requests that go to the busiest entry; 0 if they are spread.",
)
LOOP_TURN_SECONDS = Gauge(
    "leadford_loop_turn_seconds",
    "Duration that the last measured turns of the event loop had at least.",
)
LOOP_DELAY_SECONDS = Gauge(
    "leadford_loop_delay_seconds",
    "Time in which the event loop was late, since the start of the process.",
)
LINK_WAIT_SECONDS = Gauge(
    "leadford_link_wait_seconds",
    "Time that packets wait at the link, by the fastest round trip to other entries.",
)
IS_READY = Gauge("leadford_ready", "1 while this entry takes new callers, else 0.")
CALLER_CONNECTIONS = Gauge(
    "leadford_caller_connections", "Open connections of callers."
)
CONNECTIONS_SHED_TOTAL = Counter(
    "leadford_connections_shed_total",
    "Connections of callers that were closed unread because this entry was late.",
)
UNSENT_BYTES = Gauge(
    "leadford_unsent_bytes", "Bytes that wait to be sent to callers and endpoints."
)
CONNECTIONS_OPENED_TOTAL = Counter(
    "leadford_connections_opened_total", "Connections opened to endpoints."
)
HELD_BYTES = Gauge(
    "leadford_held_bytes", "Bytes held for callers and endpoints, by cause.", ["cause"]
)
MEMORY_REFUSALS_TOTAL = Counter(
    "leadford_memory_refusals_total", "Requests refused for want of memory."
)
FORWARDED_TOTAL = Counter(
    "leadford_forwarded_total", "Forwarded requests by kind and end.", ["kind", "end"]
)
INTERRUPTED_TOTAL = Counter(
    "leadford_interrupted_total",
    "Forwarded requests that were cancelled though their caller waited.",
)
FORWARD_SECONDS = Histogram(
    "leadford_forward_seconds",
    "Forwarded requests until the first byte of the answer.",
    ["kind"],
    buckets=_BUCKETS_S,
)
STAGE_SECONDS = Histogram(
    "leadford_stage_seconds", "Stages before a request.", buckets=_BUCKETS_S
)
PIECE_CALLS_TOTAL = Counter(
    "leadford_piece_calls_total", "Calls of batched stages by end.", ["end"]
)
CALL_FILL = Histogram(
    "leadford_call_fill",
    "Pieces of a call of a batched stage per place, by service.",
    ["service"],
    buckets=_FILL_BUCKETS,
)
DISPATCH_SECONDS = Histogram(
    "leadford_dispatch_seconds",
    "Time that the scheduler of a group takes to send the calls due, by service.",
    ["service"],
    buckets=_DISPATCH_BUCKETS_S,
)
PIECES_TOTAL = Counter("leadford_pieces_total", "Pieces by end.", ["end"])
ENDPOINT_PACE = Histogram(
    "leadford_endpoint_pace",
    "Pace of the endpoint at each answer that reports one: duration of its work "
    "divided by the usual duration.",
    ["service"],
    buckets=_PACE_BUCKETS,
)
ENDPOINT_PACE_AGE_SECONDS = Gauge(
    "leadford_endpoint_pace_age_seconds",
    "Time since the newest report or measurement of the endpoint for which it is "
    "longest.",
    ["service"],
)
LIVE_REQUESTS = Gauge("leadford_live_requests", "Requests under way.")
QUEUED_ATTEMPTS = Gauge("leadford_queued_attempts", "Attempts that wait.")
RUNNING_ATTEMPTS = Gauge("leadford_running_attempts", "Attempts that run.")


class MetricsHandler(web.RequestHandler):
    """Serve the metrics."""

    def get(self) -> None:
        """Respond with the metrics in the text format of Prometheus."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest())
