"""Stand in for the platform's host list, which lags behind what is so.

Met by the entries of leadford's own interface (`leadford_server.pipelines`).
"""

import time

import msgspec
from tornado import web

from leadford_standins.faults import ControlHandler, FaultState, FaultyHandler

# Seconds by which the list lags; a choice of this stand-in.
LAG_S = 3.0


class HostList:
    """Hold the states of hosts and show each change only after the lag."""

    def __init__(self, *, lag_s: float = LAG_S) -> None:
        self.lag_s = lag_s
        self.changes_: list[tuple[float, str, str]] = []

    def set(self, host: str, state: str) -> None:
        """Change a host's state: live, leaving or gone."""
        self.changes_.append((time.monotonic(), host, state))

    def visible(self) -> dict[str, str]:
        """Return the states that the list shows now."""
        limit = time.monotonic() - self.lag_s
        return {host: state for at, host, state in self.changes_ if at <= limit}


class _HostsHandler(FaultyHandler):
    """Show and change the list."""

    def initialize(self, state: FaultState, hosts: HostList) -> None:
        super().initialize(state)
        self.hosts = hosts

    def get(self) -> None:
        self.finish(msgspec.json.encode(self.hosts.visible()))

    def post(self) -> None:
        changes = msgspec.json.decode(self.request.body, type=dict[str, str])
        for host, state in changes.items():
            self.hosts.set(host, state)
        self.finish(b"{}")


def make_hosts_app(hosts: HostList) -> web.Application:
    """Return the application of a host list."""
    state = FaultState()
    return web.Application(
        [
            (r"/hosts", _HostsHandler, {"state": state, "hosts": hosts}),
            (r"/_control", ControlHandler, {"state": state}),
        ],
        log_function=lambda handler: None,
    )
