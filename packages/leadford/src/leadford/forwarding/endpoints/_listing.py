"""Merge two listings of one endpoint, and describe what changed.

The roster applies listings in the order of the store's history; this module compares
two of them.
"""

import msgspec

from leadford.common import EndpointId
from leadford.forwarding.endpoints._model import (
    ListedEndpoint,
    ListedState,
    SoftwareVersion,
)
from leadford.forwarding.routes import ServiceId

# What a change tells of an endpoint that is not listed.
UNKNOWN = "unknown"
GONE = "gone"


class RosterChange(msgspec.Struct, frozen=True):
    """Describe the state of one endpoint before and after a change of the listing.

    `software` is the version that was listed last, None if it is not known.
    """

    endpoint_id: EndpointId
    service_id: ServiceId
    before: str
    after: str
    software: SoftwareVersion | None = None

    @classmethod
    def of(cls, endpoint: ListedEndpoint, before: str, after: str) -> "RosterChange":
        """Return a change of an endpoint, by its listing that is known last."""
        return cls(
            endpoint.endpoint_id,
            endpoint.service_id,
            before,
            after,
            endpoint.known_software,
        )

    @property
    def is_gone(self) -> bool:
        """Return whether the endpoint is listed no longer."""
        return self.after == GONE


def merged_listing(known: ListedEndpoint, reported: ListedEndpoint) -> ListedEndpoint:
    """Return the newer of two listings, as draining if either of them is.

    An impaired store may apply a write long after it was sent, so a later revision may
    hold an earlier state. A peer of an older build sends a listing without the software
    version, which is filled in from the same listing, but not from an earlier one.
    """
    newer = reported if reported.position > known.position else known
    if known.position == reported.position and newer.software is msgspec.UNSET:
        newer = msgspec.structs.replace(newer, software=reported.software)
    if ListedState.DRAINING not in (known.state, reported.state):
        return newer
    return msgspec.structs.replace(newer, state=ListedState.DRAINING)
