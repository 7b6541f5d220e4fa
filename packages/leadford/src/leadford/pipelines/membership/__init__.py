"""Decide which endpoints are usable, from the host list and lost connections."""

from leadford.pipelines.membership._halls import HallMonitor
from leadford.pipelines.membership._hosts import HostState, HostTable
from leadford.pipelines.membership._subset import choose_relays, choose_subset

__all__ = ["HallMonitor", "HostState", "HostTable", "choose_relays", "choose_subset"]
