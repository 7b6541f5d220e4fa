"""Say where in the history of the store something was written or confirmed.

A store that is restored from a copy has lost what came after the copy, and gives the
same revisions out again. So a revision orders news only within one epoch; the epoch,
which rises with each restoration, goes before it.
"""

from typing import NewType

import msgspec

StoreEpoch = NewType("StoreEpoch", int)

# The epoch of a store that tells none.
FIRST_EPOCH = StoreEpoch(0)


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """Order what the store has said: by epoch, and within it by revision."""

    epoch: StoreEpoch
    revision: int


# The position of whoever knows nothing.
START = StorePosition(FIRST_EPOCH, 0)
