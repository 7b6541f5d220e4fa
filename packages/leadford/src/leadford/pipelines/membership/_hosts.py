"""Hold the platform's lagging list of hosts.

Read by the entry's directory of endpoints: a host that is listed as leaving or gone
gets no new work. Drains that an agent announces, and endpoints out of reach, are known
by the directory and by `HallMonitor`, not here.
"""

from enum import Enum

from leadford.common import HostId


class HostState(Enum):
    """Say what the platform lists of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostTable:
    """Hold the listed state of hosts."""

    def __init__(self) -> None:
        self.listed_by_host_: dict[HostId, HostState] = {}

    def record_list(self, states_by_host: dict[HostId, HostState]) -> None:
        """Replace the list by a newer one."""
        self.listed_by_host_ = states_by_host

    def is_leaving(self, host: HostId) -> bool:
        """Tell whether a host is to get no new work."""
        listed = self.listed_by_host_.get(host)
        return listed in (HostState.LEAVING, HostState.GONE)
