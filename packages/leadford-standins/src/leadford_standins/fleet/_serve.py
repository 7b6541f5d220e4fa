"""Serve the stand-ins of a fleet in one process.

Run by `leadford_standins serve`; one process serves store and host list, others a part
of the endpoints each.
"""

import asyncio
from random import Random

from tornado import httpserver, web

from leadford_standins.endpoints import (
    EngineModel,
    make_engine_app,
    make_service_app,
)
from leadford_standins.fleet._layout import LOOPBACK, EndpointSpec, FleetSpec
from leadford_standins.hosts import HostList, make_hosts_app
from leadford_standins.store import make_store_app

# Several processes serve the endpoints, so that one does not slow all of them.
ENDPOINT_PARTS = 2


def _endpoint_app(endpoint: EndpointSpec, random: Random) -> web.Application:
    if endpoint.kind == "engine":
        engine = EngineModel(
            step_ms=endpoint.step_ms,
            slope=endpoint.slope,
            batch_max=endpoint.concurrency,
            checks_fences=endpoint.checks_fences,
            models=endpoint.models,
        )
        return make_engine_app(engine)
    return make_service_app(
        service_ms=endpoint.service_ms,
        concurrency=endpoint.concurrency,
        random=random,
    )


def listen(app: web.Application, port: int) -> None:
    """Serve an application on a loopback port."""
    httpserver.HTTPServer(app, idle_connection_timeout=600.0).listen(port, LOOPBACK)


async def serve_spec(spec: FleetSpec, part: str) -> None:
    """Serve the `store`, or one part of the `endpoints`, until cancelled."""
    if part == "store":
        listen(make_store_app(), spec.store_port)
        listen(make_hosts_app(HostList()), spec.hosts_port)
    else:
        number = int(part.rpartition("-")[2])
        for index, endpoint in enumerate(spec.endpoints):
            if index % ENDPOINT_PARTS != number:
                continue
            random = Random(spec.seed * 1000 + index)
            listen(_endpoint_app(endpoint, random), endpoint.port)
    await asyncio.Event().wait()
