"""Clocks that include the time in which the host was suspended.

Both programs read the time here: from the event loop that they run on, or from
`boot_time` where they have no loop.
"""

from leadford_server.clock._boot import BootClockLoop, boot_time, new_loop
from leadford_server.clock._suspension import SuspensionWatch

__all__ = ["BootClockLoop", "SuspensionWatch", "boot_time", "new_loop"]
