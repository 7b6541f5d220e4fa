"""Tell the time, also that in which the host was suspended.

Both programs take their moments from here: the loop that they run on, and `boot_time`
where no loop is at hand.
"""

from leadford_server.clock._boot import BootClockLoop, boot_time, new_loop
from leadford_server.clock._suspension import SuspensionWatch

__all__ = ["BootClockLoop", "SuspensionWatch", "boot_time", "new_loop"]
