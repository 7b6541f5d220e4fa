"""Bound the bytes that an entry holds for callers and endpoints that read slowly.

`_budget` derives a budget from the memory limit of the process, and `_account` counts
what is held by cause, decides whether new work is taken, when reading stops, and which
callers are cut off.
"""

from leadford.forwarding.memory._account import (
    MAX_UNREAD_EVENT_BYTES,
    BytesHolder,
    HeldCause,
    MemoryAccount,
    MemoryRefusal,
    was_left_unread,
)
from leadford.forwarding.memory._budget import MemoryBudget

__all__ = [
    "MAX_UNREAD_EVENT_BYTES",
    "BytesHolder",
    "HeldCause",
    "MemoryAccount",
    "MemoryBudget",
    "MemoryRefusal",
    "was_left_unread",
]
