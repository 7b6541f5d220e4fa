"""Log when an entry begins and ends to take callers, and why it takes none.

Owns what was logged last; each change is logged once.
"""

from collections.abc import Callable

from leadford.events import Event
from leadford_server.forwarding._ready import Readiness
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.store import ObjectsClient
from leadford_server.logs import milliseconds
from leadford_server.metrics import IS_READY


class StatusLog:
    """Log changes of the readiness of an entry, and of the age of its configuration."""

    def __init__(
        self,
        *,
        state: ForwardState,
        client: ObjectsClient,
        readiness: Callable[[], Readiness],
    ) -> None:
        self.state = state
        self.client = client
        self.readiness = readiness
        self.was_stale_ = False
        self.last_readiness_: Readiness | None = None

    def report(self) -> None:
        """Log what has changed since the last call."""
        self._report_staleness()
        self._report_readiness()

    def _report_staleness(self) -> None:
        """Log when the configuration becomes too old to be used, and when it is not."""
        if self.state.table_ is None:
            return
        age = self.state.age()
        if age.is_stale == self.was_stale_:
            return
        self.was_stale_ = age.is_stale
        self.state.log.report(
            Event.CONFIG_STALE,
            is_stale=age.is_stale,
            version=self.state.config_version(),
            confirmed_ms=milliseconds(age.config_age_s),
            newer_ms=milliseconds(age.stale_s),
            refused_ms=milliseconds(age.refused_s),
            alone_ms=milliseconds(age.alone_s),
        )

    def _report_readiness(self) -> None:
        """Log when this entry becomes ready, and when and why it is not ready."""
        readiness = self.readiness()
        IS_READY.set(readiness is Readiness.READY)
        if readiness is self.last_readiness_:
            return
        self.last_readiness_ = readiness
        self.state.log.report(
            Event.READINESS_CHANGED,
            readiness=readiness.value,
            version=self.state.config_version(),
            store_calls=self.client.call_count_,
            unanswered=self.client.unanswered_count_,
        )
