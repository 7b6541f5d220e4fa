"""Hold one attempt of a request at an endpoint, and how one proves not to have run.

Made by `_attempts`; the forwarders of plain requests and streams read it.
"""

import msgspec

from leadford.forwarding.endpoints import EndpointRecord
from leadford_server.forwarding.endpoints import EndpointConnection, LiveAnswer

# From this status on an answer counts as a failure of the endpoint.
STATUS_ERRORS = 500

# What is told of an attempt for which there was no endpoint.
NO_ENDPOINT = "no endpoint"


class NotRun(Exception):
    """Tell that an attempt proved not to have run."""

    def __init__(self, detail: str, *, inputs_gone: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.inputs_gone = inputs_gone


class BorrowedConnection(msgspec.Struct, eq=False):
    """Hold a connection that is lent to one attempt.

    Units: began_at in seconds of the monotonic clock.
    """

    record: EndpointRecord
    connection: EndpointConnection
    began_at: float


class Attempt(msgspec.Struct, eq=False):
    """Hold one attempt at an endpoint whose answer has begun.

    Units: began_at, and limit_at until when the answer is waited for, in seconds of the
    monotonic clock.
    """

    record: EndpointRecord
    connection: EndpointConnection
    answer: LiveAnswer
    began_at: float
    limit_at: float

    @property
    def is_error(self) -> bool:
        """Tell whether the endpoint answered that it failed."""
        return self.answer.head.status >= STATUS_ERRORS
