"""Define the origin of a stream, which decides where the stream may go on.

The events that two software versions of a service write do not fit together, and
endpoints do not check this.
"""

from collections.abc import Iterable
from typing import NewType

import msgspec

from leadford.common import RequestId
from leadford.forwarding.endpoints import ListedEndpoint, SoftwareVersion
from leadford.forwarding.routes import Route, ServiceId

# Is the same for all tries of one request, and for equal requests.
StreamContent = NewType("StreamContent", str)


class StreamKey(msgspec.Struct, frozen=True):
    """Identify a stream by the request that began it, and by what it asks for.

    `request_id` is None where a caller resumes a stream without naming that request.
    """

    request_id: RequestId | None
    content: StreamContent


class StreamOrigin(msgspec.Struct, frozen=True):
    """Hold the service and the software version that wrote the first event of a stream.

    `software` is None if the version of the endpoint was not known; then the stream can
    go on nowhere.
    """

    service_id: ServiceId
    software: SoftwareVersion | None

    def accepts(self, listed: ListedEndpoint) -> bool:
        """Return whether the stream may go on at an endpoint, by its listing now."""
        return self.software is not None and listed.known_software == self.software

    def service_on(self, route: Route) -> ServiceId | None:
        """Return the service that began the stream, None if its route left it."""
        for part in route.services:
            if part.service_id == self.service_id and part.weight > 0.0:
                return self.service_id
        return None


def agreed_origin(origins: Iterable[StreamOrigin]) -> StreamOrigin | None:
    """Return the only origin among some, None if there is none or they differ."""
    found = set(origins)
    return found.pop() if len(found) == 1 else None
