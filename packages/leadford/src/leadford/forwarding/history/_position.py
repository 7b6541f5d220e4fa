"""Define positions in the history of the store by epoch and revision.

A store that is restored from a copy has lost all later writes and assigns the same
revisions again. So revisions are ordered only within one epoch. The epoch increases
with each restoration and is compared first.
"""

from typing import NewType

import msgspec

StoreEpoch = NewType("StoreEpoch", int)

# The epoch of a store that reports none.
FIRST_EPOCH = StoreEpoch(0)


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """Order data from the store by epoch, and within an epoch by revision."""

    epoch: StoreEpoch
    revision: int


# The position before any data from the store is known.
START_POSITION = StorePosition(FIRST_EPOCH, 0)
