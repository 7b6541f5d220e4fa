"""List the pages that an entry serves to callers, operators and balancers."""

from collections.abc import Callable

from tornado import web

from leadford_server.metrics import MetricsHandler
from leadford_server.pipelines.entry._http import (
    HealthHandler,
    ReadyHandler,
    RequestHandler,
    RequestsHandler,
)
from leadford_server.pipelines.entry._operator_pages import (
    ConfigHandler,
    StatementsHandler,
)
from leadford_server.pipelines.entry._operators import OperatorService
from leadford_server.pipelines.entry._requests import RequestTable
from leadford_server.pipelines.entry._services import EntryServices


def make_pages(
    *,
    services: EntryServices,
    table: RequestTable,
    operators: OperatorService,
    version: Callable[[], int],
) -> web.Application:
    """Return the pages of an entry; `version` gives that of its configuration."""
    shared = {"services": services, "table": table}
    return web.Application(
        [
            (r"/v1/pipelines/([^/]+)/requests", RequestsHandler, shared),
            (r"/v1/requests/([^/]+)", RequestHandler, shared),
            (r"/v1/operator/statements", StatementsHandler, {"service": operators}),
            (r"/v1/operator/config", ConfigHandler, {"service": operators}),
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, {**shared, "version": version}),
            (r"/metrics", MetricsHandler),
        ],
        log_function=lambda handler: None,
    )
