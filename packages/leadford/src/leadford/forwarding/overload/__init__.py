"""Notice that this entry is late itself, and take fewer new connections.

`_turns` tells from the turns of the event loop how late the entry is, apart from what
endpoints and the store delay, `_link` from round trips to peers how long packets wait
at its link, and `_peers` whether another entry is less late. `_connections` decides
which new connections are read.
"""

from leadford.forwarding.overload._connections import (
    ConnectionAdmission,
    LateCause,
)
from leadford.forwarding.overload._link import LinkWaits
from leadford.forwarding.overload._peers import TAKES_NO_CALLERS, PeerDelays
from leadford.forwarding.overload._turns import (
    MAX_CALM_TURN_S,
    NO_DELAY,
    DelayMark,
    LoopTurns,
)

__all__ = [
    "MAX_CALM_TURN_S",
    "NO_DELAY",
    "TAKES_NO_CALLERS",
    "ConnectionAdmission",
    "DelayMark",
    "LateCause",
    "LinkWaits",
    "LoopTurns",
    "PeerDelays",
]
