"""Define an attempt of a request at an endpoint, and the error of one that did not run.

`_attempts` creates attempts; the forwarders of plain requests and streams read them.
"""

import msgspec

from leadford.forwarding.endpoints import EndpointRecord, SoftwareVersion
from leadford.forwarding.memory import was_left_unread
from leadford.forwarding.overload import DelayMark
from leadford_server.forwarding.endpoints import EndpointConnection, LiveAnswer

# Answers with this status or a higher one count as failures of the endpoint.
MIN_ERROR_STATUS = 500

# Failure detail of an attempt for which there was no endpoint.
NO_ENDPOINT = "no endpoint"


class NotRun(Exception):
    """Signal that an attempt has certainly not run.

    `inputs_gone` says that a result that the request reads is no longer available.
    """

    def __init__(self, detail: str, *, inputs_gone: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.inputs_gone = inputs_gone


class BorrowedConnection(msgspec.Struct, eq=False):
    """Hold a pooled connection that one attempt uses.

    `software` is the version that was listed when the request was sent.

    `mark` is when the attempt began, with the delay of this entry until then.
    """

    record: EndpointRecord
    connection: EndpointConnection
    mark: DelayMark
    software: SoftwareVersion | None

    @property
    def began_at(self) -> float:
        """Return when the attempt began, in seconds of the monotonic clock."""
        return self.mark.at


class Attempt(msgspec.Struct, eq=False):
    """Hold one attempt at an endpoint whose answer has begun.

    Units: limit_at, the time limit for the answer, in seconds of the monotonic clock.
    """

    borrowed: BorrowedConnection
    answer: LiveAnswer
    limit_at: float

    @property
    def record(self) -> EndpointRecord:
        """Return the endpoint."""
        return self.borrowed.record

    @property
    def connection(self) -> EndpointConnection:
        """Return the connection that carries the answer."""
        return self.borrowed.connection

    @property
    def began_at(self) -> float:
        """Return when the attempt began, in seconds of the monotonic clock."""
        return self.borrowed.began_at

    @property
    def mark(self) -> DelayMark:
        """Return when the attempt began, with the delay of this entry until then."""
        return self.borrowed.mark

    @property
    def is_error(self) -> bool:
        """Return whether the endpoint answered with an error status."""
        return self.answer.head.status >= MIN_ERROR_STATUS

    @property
    def ended_with_connection(self) -> bool:
        """Return whether an answer without a length ended cleanly with its connection.

        Then an incomplete event at its end says nothing about the endpoint.
        """
        reader = self.answer.reader
        return reader.is_complete_ and not reader.is_framed_

    @property
    def was_left_unread(self) -> bool:
        """Return whether reading paused so long that the endpoint may have given up.

        Then the end of its connection says nothing about the endpoint.
        """
        return was_left_unread(self.answer.reader.unread_s)
