"""Define the numbered events that processes log.

Numbers and names are visible to operators and never change. docs/EVENTS.md describes
each event, and a test checks that it agrees with this module.
"""

from enum import Enum

import msgspec


class Severity(Enum):
    """Name how important an event is to an operator."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(Enum):
    """List each event with its number, severity and meaning."""

    PROCESS_STARTED = (100, Severity.INFO, "The process serves.")
    PROCESS_DRAINING = (101, Severity.INFO, "A planned stop began; no new work.")
    PROCESS_STOPPED = (102, Severity.INFO, "The planned stop ended.")
    SETTINGS_INVALID = (103, Severity.ERROR, "The settings cannot be used.")
    SETTINGS_RELOADED = (104, Severity.INFO, "The settings were read again.")
    PROCESS_WOKEN = (105, Severity.WARNING, "The host was suspended for a while.")
    MEMORY_SHORT = (
        106,
        Severity.WARNING,
        "The process began or ended to refuse requests for want of memory.",
    )
    ENTRY_LATE = (
        107,
        Severity.WARNING,
        "An entry is late itself, by its event loop or its link, or is on time again.",
    )
    LISTEN_FAILED = (
        108,
        Severity.ERROR,
        "No connection of a caller could be accepted; tried again soon.",
    )
    STOP_DECIDED = (
        109,
        Severity.INFO,
        "A planned stop reads no further request, and answers what was read.",
    )
    STOP_DISTURBED = (
        110,
        Severity.ERROR,
        "A step of a planned stop failed or was cancelled; the stop goes on.",
    )
    SWEEP_FAILED = (
        111,
        Severity.ERROR,
        "A sweep of connections and records failed; the next one follows.",
    )
    CALLERS_PAUSED = (
        112,
        Severity.INFO,
        "New connections of callers are refused for a moment, as the entry is late.",
    )
    READINESS_CHANGED = (
        113,
        Severity.INFO,
        "An entry began or ended to take new callers, or does not for another reason.",
    )
    PEER_CONNECTED = (200, Severity.INFO, "A connection to a peer stands.")
    PEER_LOST = (201, Severity.WARNING, "A connection to a peer ended.")
    PEER_REJECTED = (202, Severity.WARNING, "A peer failed its proof or version.")
    FRAME_REJECTED = (203, Severity.WARNING, "A frame was no message; peer dropped.")
    HALL_LOST = (204, Severity.WARNING, "A data hall is held lost as a whole.")
    MESSAGE_SKIPPED = (205, Severity.WARNING, "A message of a peer is not known here.")
    ENDPOINT_EJECTED = (300, Severity.WARNING, "An endpoint gets no work for a while.")
    ENDPOINT_PROBING = (301, Severity.INFO, "An ejected endpoint is probed.")
    ENDPOINT_RESTORED = (302, Severity.INFO, "An endpoint passed its probes.")
    ENDPOINT_DRAINING = (303, Severity.INFO, "An endpoint takes no new work.")
    ENDPOINT_LISTED = (304, Severity.INFO, "The listing of an endpoint changed.")
    HALL_EVACUATED = (305, Severity.WARNING, "The evacuation of a hall began or ended.")
    RECORD_UNREADABLE = (306, Severity.WARNING, "A record is passed over.")
    ENDPOINT_BACKPRESSURE = (
        307,
        Severity.INFO,
        "What an endpoint asks of those that send to it has changed.",
    )
    SOFTWARE_RECORDED = (
        308,
        Severity.INFO,
        "The versions at which streams may have begun are recorded in the store.",
    )
    STREAMS_READ = (309, Severity.INFO, "Origins of streams were read from the store.")
    ANSWER_STRAY = (400, Severity.WARNING, "An answer matched nothing; dropped.")
    REQUEST_REFUSED = (401, Severity.INFO, "A request was refused.")
    REQUEST_UNKNOWN = (402, Severity.WARNING, "A request's outcome is not known.")
    REQUEST_TAKEN_OVER = (403, Severity.INFO, "Another entry's request is served on.")
    ATTEMPT_RETRIED = (404, Severity.INFO, "A stage is tried at another endpoint.")
    ENDPOINT_ANSWER_CROSSED = (
        405,
        Severity.ERROR,
        "An endpoint answered for another attempt; dropped.",
    )
    FORWARD_ENDED = (406, Severity.INFO, "A forwarded request has its final answer.")
    PIECES_CALLED = (407, Severity.INFO, "A call for pieces of stages ended.")
    PIECE_REMADE = (408, Severity.INFO, "A piece of a stage is made again.")
    ATTEMPT_LOST = (409, Severity.INFO, "A connection ended under a request.")
    REQUEST_QUARANTINED = (410, Severity.WARNING, "A request is sent to no endpoint.")
    QUARANTINE_ENDED = (411, Severity.INFO, "A request may be sent to endpoints again.")
    CALLER_CUT_OFF = (
        412,
        Severity.WARNING,
        "A caller that did not send or read was cut off.",
    )
    PROMPT_PART_QUARANTINED = (
        413,
        Severity.WARNING,
        "Requests with a part of a prompt are sent to no endpoint.",
    )
    PROMPT_PART_CLEARED = (
        414,
        Severity.INFO,
        "Requests with a part of a prompt may be sent to endpoints again.",
    )
    ATTEMPT_SILENT = (
        415,
        Severity.INFO,
        "An endpoint is silent for longer than the limit of an attempt.",
    )
    STORE_UNAVAILABLE = (500, Severity.WARNING, "The store did not answer.")
    STORE_BACK = (501, Severity.INFO, "The store answers again.")
    CLAIM_CONFLICT = (502, Severity.INFO, "Another writer appended claims first.")
    CLAIM_ANSWER_LOST = (503, Severity.WARNING, "A claim write is settled by reading.")
    CLAIMS_FULL = (504, Severity.ERROR, "A claim ring holds no free slot.")
    STORE_ANSWER_LOST = (505, Severity.INFO, "A call got no whole answer in time.")
    STORE_RESTORED = (506, Severity.WARNING, "The store began another history.")
    STORE_LISTED = (507, Severity.INFO, "A kind is followed from a new listing.")
    CONFIG_IN_FORCE = (600, Severity.INFO, "A configuration version is in force.")
    CONFIG_UNREADABLE = (601, Severity.ERROR, "A newer configuration cannot be read.")
    CONFIG_ACCEPTED = (602, Severity.INFO, "A configuration change was accepted.")
    CONFIG_CONFLICT = (603, Severity.INFO, "A change lost to another one.")
    NEWS_REQUESTED = (604, Severity.INFO, "A peer is asked for what it knows better.")
    NEWS_SENT = (605, Severity.INFO, "A peer was told what it asked for.")
    NEWS_RECEIVED = (606, Severity.INFO, "A peer told what it was asked for.")
    CONFIG_STALE = (
        607,
        Severity.WARNING,
        "An entry serves nothing by a configuration that may be old, or serves again.",
    )
    PLAN_CHANGED = (700, Severity.INFO, "The plan of a pool changed.")
    ORDER_GIVEN = (701, Severity.INFO, "An engine was given an order.")
    ORDER_IN_DOUBT = (702, Severity.WARNING, "An order's effect is not known yet.")
    PLANNER_CHANGED = (703, Severity.INFO, "A planning lease changed hands.")

    def __init__(self, number: int, severity: Severity, meaning: str) -> None:
        self.number = number
        self.severity = severity
        self.meaning = meaning


class EventRecord(msgspec.Struct, frozen=True):
    """Hold one event that happened.

    Units: at_s is seconds of Unix time.
    """

    event: Event
    at_s: float
    fields: dict[str, str | int | float]
