"""Say how requests and their attempts end."""

from enum import Enum

import msgspec

from leadford.forwarding.endpoints import EndpointRecord
from leadford_server.forwarding._connection import EndpointConnection, LiveAnswer


class End(Enum):
    """Say how a request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    DENIED = "denied"
    FAILED = "failed"
    LATE = "late"
    BROKEN_OFF = "broken-off"
    CALLER_GONE = "caller-gone"


class NotRun(Exception):
    """Tell that an attempt proved not to have run."""

    def __init__(self, detail: str, *, inputs_gone: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.inputs_gone = inputs_gone


class Attempt(msgspec.Struct, eq=False):
    """Hold one attempt at an endpoint."""

    record: EndpointRecord
    connection: EndpointConnection
    answer: LiveAnswer
    began_at: float
