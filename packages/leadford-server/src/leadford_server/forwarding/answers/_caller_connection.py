"""Hold the connection of one caller: what is on it now, and why it was closed.

Owned by `_caller_server`, which creates one for each connection that it reads. Every
close of a connection with a request on it goes through this module, so that the log of
the request can tell who closed it.
"""

from enum import Enum
from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from leadford_server.forwarding._framing import has_partial_message, is_readable

if TYPE_CHECKING:
    from leadford_server.forwarding.answers._callers import CallerExchange


class CloseCause(Enum):
    """List who closed the connection of a caller; the values appear in logs.

    CALLER: the caller, or it ended the half on which it sends. RESET: the caller, by a
    reset. FAILED: an error of the connection. BROKEN_OFF: this entry, because the rest
    of an answer is missing. STALLED: this entry, because the caller did not send or
    read. ANSWERED: this entry, after an answer. IDLE: this entry, as no request came.
    STOPPED: this entry, as it ended.
    """

    CALLER = "caller"
    RESET = "caller-reset"
    FAILED = "failed"
    BROKEN_OFF = "broken-off"
    STALLED = "stalled"
    ANSWERED = "answered"
    IDLE = "idle"
    STOPPED = "stopped"


class CallerConnection:
    """Hold one connection, and the last request that was read from it."""

    def __init__(self, *, stream: IOStream) -> None:
        self.stream = stream
        self.exchange_: CallerExchange | None = None
        self.closed_by_: CloseCause | None = None
        # Whether the connection is to be closed once what was written is sent.
        self.closes_soon_ = False

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed, by either side."""
        return self.stream.closed()

    @property
    def closed_by_text(self) -> str:
        """Return who closed the connection, for log lines; empty if it is open."""
        self.record_lost()
        return self.closed_by_.value if self.closed_by_ is not None else ""

    @property
    def has_request(self) -> bool:
        """Return whether the head of a request arrived that is not over."""
        exchange = self.exchange_
        return exchange.request_ is not None and not exchange.is_over_

    @property
    def waits_for_head(self) -> bool:
        """Return whether the next request has not arrived, or not its whole head.

        A request that lies in the kernel, or that was received and is not parsed yet,
        has arrived.
        """
        if self.exchange_.request_ is not None or not self.stream.reading():
            return False
        return not is_readable(self.stream)

    @property
    def is_unused(self) -> bool:
        """Return whether nothing of the next request has arrived."""
        return self.waits_for_head and not has_partial_message(self.stream)

    def close(self, cause: CloseCause) -> None:
        """Close the connection at once."""
        if not self.stream.closed():
            self._record_closed(cause)
        self.stream.close()

    def record_lost(self) -> None:
        """Record that the connection is closed, by the other side if not by this."""
        if not self.stream.closed():
            return
        error = self.stream.error
        if error is None:
            self._record_closed(CloseCause.CALLER)
        elif isinstance(error, ConnectionError):
            self._record_closed(CloseCause.RESET)
        else:
            self._record_closed(CloseCause.FAILED)

    def _record_closed(self, cause: CloseCause) -> None:
        if self.closed_by_ is None:
            self.closed_by_ = cause
