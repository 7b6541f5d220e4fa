"""Serve the readiness check, which tells whether an entry takes new callers.

The condition is passed in. The platform sends new callers elsewhere while the answer is
no.
"""

from collections.abc import Callable
from enum import Enum

from tornado import web

from leadford_server.metrics import MetricsHandler

STATUS_READY = 200
STATUS_NOT_READY = 503


class Readiness(Enum):
    """Tell whether an entry takes new callers, or why it does not."""

    READY = "ready"
    DRAINING = "draining"
    NO_CONFIG = "no-config"
    EVACUATIONS_UNKNOWN = "evacuations-unknown"
    CONFIG_MAY_BE_OLD = "config-may-be-old"


class ReadyHandler(web.RequestHandler):
    """Tell whether this entry takes new callers."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def get(self) -> None:
        """Answer by status; the body is empty."""
        self.set_status(STATUS_READY if self.is_ready() else STATUS_NOT_READY)
        self.finish()


def ready_application(path: str, is_ready: Callable[[], bool]) -> web.Application:
    """Return an application with the readiness check at a path, and the metrics."""
    return web.Application(
        [(path, ReadyHandler, {"is_ready": is_ready}), ("/metrics", MetricsHandler)],
        log_function=lambda handler: None,
    )
