"""Run `leadfordd entry` or `leadfordd agent`.

Each command runs one process of leadford's own interface. Its settings come from flags
or environment variables. A process serves until SIGTERM or SIGINT, then lets
running work end before it exits.
"""

import asyncio
import inspect
import os
import signal
import sys

import defopt
from absl import logging
from returns.result import Failure, Result

from leadford.events import Event
from leadford_server.clock import new_loop
from leadford_server.logs import EventLog
from leadford_server.settings import (
    check_agent_settings,
    check_entry_settings,
    with_environment,
)

# Exit status for invalid settings; each fault is printed.
EXIT_INVALID_SETTINGS = 2


def entry(
    *,
    entry_id: str = "",
    host_id: str = "",
    hall: str = "",
    http: str = "0.0.0.0:8080",
    peer: str = "0.0.0.0:8081",
    store: str = "",
    secret: str = "",
    seeds: str = "",
    hosts_url: str = "",
    verbosity: str = "info",
) -> int:
    """Serve callers and operators.

    :param entry_id: name of this entry in the configuration
    :param host_id: name of the host it runs on
    :param hall: data hall it runs in
    :param http: IP number and port for callers and operators
    :param peer: IP number and port for other processes of the fleet
    :param store: address of the platform's object API
    :param secret: secret that all processes of the fleet share
    :param seeds: peer addresses of other entries, for a start without the store
    :param hosts_url: address of the platform's host list
    :param verbosity: info, warning or error
    """
    from leadford_server.pipelines.entry import EntryProcess

    settings = check_entry_settings(
        entry_id=entry_id,
        host_id=host_id,
        hall=hall,
        http=http,
        peer=peer,
        store=store,
        secret=secret,
        seeds=seeds,
        hosts_url=hosts_url,
        verbosity=verbosity,
    )
    return _serve(settings, EntryProcess)


def agent(
    *,
    endpoint_id: str = "",
    host_id: str = "",
    hall: str = "",
    peer: str = "0.0.0.0:8082",
    metrics: str = "127.0.0.1:8083",
    endpoint_url: str = "",
    store: str = "",
    secret: str = "",
    verbosity: str = "info",
) -> int:
    """Run beside one endpoint: queue, run and keep its work.

    :param endpoint_id: name of the endpoint in the configuration
    :param host_id: name of the host it runs on
    :param hall: data hall it runs in
    :param peer: IP number and port for the entries
    :param metrics: IP number and port for health and metrics
    :param endpoint_url: address of the endpoint
    :param store: address of the platform's object API
    :param secret: secret that all processes of the fleet share
    :param verbosity: info, warning or error
    """
    from leadford_server.pipelines.agent import AgentProcess

    settings = check_agent_settings(
        endpoint_id=endpoint_id,
        host_id=host_id,
        hall=hall,
        peer=peer,
        metrics=metrics,
        endpoint_url=endpoint_url,
        store=store,
        secret=secret,
        verbosity=verbosity,
    )
    return _serve(settings, AgentProcess)


def _serve(settings: Result, process_class: type) -> int:
    logging.use_absl_handler()
    if isinstance(settings, Failure):
        log = EventLog(process_id="leadfordd")
        for fault in settings.failure():
            log.report(Event.SETTINGS_INVALID, fault=str(fault))
            print(f"leadfordd: {fault}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    logging.set_verbosity(settings.unwrap().verbosity)
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(_run(process_class, settings.unwrap()))


async def _run(process_class: type, settings: object) -> int:
    process = process_class(settings=settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await process.start()
    await stop.wait()
    await process.drain()
    return 0


def main() -> None:
    """Parse flags and environment variables and run the given role."""
    roles = {"entry": entry, "agent": agent}
    arguments = sys.argv[1:]
    if arguments and arguments[0] in roles:
        names = list(inspect.signature(roles[arguments[0]]).parameters)
        flags = with_environment(arguments[1:], os.environ, names)
        arguments = [arguments[0], *flags]
    sys.exit(defopt.run(roles, argv=arguments))


if __name__ == "__main__":
    main()
