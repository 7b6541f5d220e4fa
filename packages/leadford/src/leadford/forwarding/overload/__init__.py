"""Tell how late this entry is itself, apart from what endpoints and the store delay.

`_turns` holds the durations of turns of the event loop and sums up its delay.
"""

from leadford.forwarding.overload._turns import MAX_CALM_TURN_S, LoopTurns

__all__ = ["MAX_CALM_TURN_S", "LoopTurns"]
