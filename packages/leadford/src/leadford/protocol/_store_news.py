"""Messages that pass on what the store told one entry.

Revisions count within the epoch of the store that is told with them.
"""

from leadford.protocol._base import MessageBase


class StoreConfirmation(MessageBase):
    """Say up to which revision the store confirmed that nothing is missing, and when.

    Whoever knows the kind up to `changed_revision`, that of its last change, knows as
    much as the sender; for the configuration, whoever runs its `version` (0 for other
    kinds).

    Units: confirmed_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    revision: int
    changed_revision: int
    version: int
    confirmed_ms: float
    epoch: int = 0


class StoreConfirmations(MessageBase, tag=44):
    """Tell what the store confirmed lately to an entry that follows it.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    sent_ms: float
    kinds: list[StoreConfirmation]


class StoreChange(MessageBase):
    """Hold one change of an object of the store, as the store wrote it (JSON)."""

    item: bytes
    is_gone: bool
    seen_revision: int


class StoreChanges(MessageBase, tag=45):
    """Pass on every change of a kind after one revision of the store up to another.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    after_revision: int
    revision: int
    sent_ms: float
    changes: list[StoreChange]
    epoch: int = 0


class PackedChanges(MessageBase, tag=49):
    """Pass changes on as `StoreChanges` does, packed.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    after_revision: int
    revision: int
    sent_ms: float
    changes: bytes
    epoch: int = 0


class PackedListing(MessageBase, tag=50):
    """Give the endpoints that are listed at a revision of the store, packed."""

    revision: int
    endpoints: bytes
    epoch: int = 0
