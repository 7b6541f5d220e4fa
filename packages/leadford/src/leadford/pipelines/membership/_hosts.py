"""Hold the platform's list of hosts, which lags behind their real state.

Read by the entry's directory of endpoints: a host that is listed as leaving or gone
gets no new work. Drains that an agent announces and unreachable endpoints are tracked
by the directory and by `HallMonitor`, not here.
"""

from enum import Enum

from leadford.common import HostId


class HostState(Enum):
    """Name the state of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostTable:
    """Hold the listed state of hosts."""

    def __init__(self) -> None:
        self.listed_by_host_: dict[HostId, HostState] = {}

    def record_list(self, states_by_host: dict[HostId, HostState]) -> None:
        """Replace the list with a newer one."""
        self.listed_by_host_ = states_by_host

    def is_leaving(self, host: HostId) -> bool:
        """Return whether a host must get no new work."""
        listed = self.listed_by_host_.get(host)
        return listed in (HostState.LEAVING, HostState.GONE)
