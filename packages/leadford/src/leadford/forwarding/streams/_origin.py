"""Define the origin of a stream, which decides where the stream may go on.

The events that two software versions of a service write do not fit together, and
endpoints do not check this.
"""

import msgspec

from leadford.forwarding.endpoints import ListedEndpoint, SoftwareVersion
from leadford.forwarding.routes import ServiceId


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
