"""Messages that relay what one entry received from the store.

Revisions are counted within the epoch of the store that is sent with them.
"""

from leadford.protocol._base import MessageBase


class StoreConfirmation(MessageBase):
    """Report the revision up to which the store confirmed a kind as complete, and when.

    An entry that knows the kind up to `changed_revision`, that of its last change, is
    as up to date as the sender; for the configuration, an entry that uses its `version`
    (0 for other kinds).

    Units: confirmed_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    revision: int
    changed_revision: int
    version: int
    confirmed_ms: float
    epoch: int = 0


class StoreConfirmations(MessageBase, tag=44):
    """Relay the latest confirmations of the store from an entry that follows it.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    sent_ms: float
    kinds: list[StoreConfirmation]


class StoreChange(MessageBase):
    """Hold one change of an object of the store, as JSON from the store."""

    item: bytes
    is_gone: bool
    seen_revision: int


class StoreChanges(MessageBase, tag=45):
    """Relay every change of a kind after one revision of the store up to another.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    after_revision: int
    revision: int
    sent_ms: float
    changes: list[StoreChange]
    epoch: int = 0


class PackedChanges(MessageBase, tag=49):
    """Relay changes as `StoreChanges` does, compressed.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    after_revision: int
    revision: int
    sent_ms: float
    changes: bytes
    epoch: int = 0


class PackedListing(MessageBase, tag=50):
    """Answer with the endpoints listed at a revision of the store, compressed."""

    revision: int
    endpoints: bytes
    epoch: int = 0
