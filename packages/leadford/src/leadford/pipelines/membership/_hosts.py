"""Join the platform's lagging host list with what was seen directly."""

from enum import Enum

from leadford.common import HostId

SUSPICION_S = 5.0


class HostState(Enum):
    """Say what the platform lists of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostTable:
    """Hold the state of hosts.

    What was announced directly counts at once; the list confirms or clears it
    later. A suspicion of ours expires, as it may be our own link that failed.
    """

    def __init__(self, *, suspicion_s: float = SUSPICION_S) -> None:
        self.suspicion_s = suspicion_s
        self.listed_by_host_: dict[HostId, HostState] = {}
        self.leaving_: set[HostId] = set()
        self.suspected_until_: dict[HostId, float] = {}

    def note_list(self, states_by_host: dict[HostId, HostState]) -> None:
        """Take in a newer host list."""
        self.listed_by_host_ = states_by_host
        gone = {h for h in self.leaving_ if h not in states_by_host}
        self.leaving_ -= gone

    def note_leaving(self, host: HostId) -> None:
        """Take in a drain that the host itself announced."""
        self.leaving_.add(host)

    def note_returned(self, host: HostId) -> None:
        """Take in that a host announced itself fit again."""
        self.leaving_.discard(host)
        self.suspected_until_.pop(host, None)

    def note_unreachable(self, host: HostId, now: float) -> None:
        """Suspect a host that could not be reached."""
        self.suspected_until_[host] = now + self.suspicion_s

    def note_reached(self, host: HostId) -> None:
        """Clear the suspicion of a host that answered."""
        self.suspected_until_.pop(host, None)

    def is_leaving(self, host: HostId) -> bool:
        """Tell whether a host is to get no new work."""
        if host in self.leaving_:
            return True
        listed = self.listed_by_host_.get(host)
        return listed in (HostState.LEAVING, HostState.GONE)

    def is_suspected(self, host: HostId, now: float) -> bool:
        """Tell whether a host was recently out of reach."""
        until = self.suspected_until_.get(host)
        if until is None:
            return False
        if now < until:
            return True
        del self.suspected_until_[host]
        return False
