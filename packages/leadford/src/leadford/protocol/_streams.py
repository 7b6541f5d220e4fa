"""Messages about which software version began a stream.

An entry of an earlier build gets none of them.
"""

from leadford.protocol._base import MessageBase


class StreamOriginReport(MessageBase):
    """Report which software version of a service began the stream of a request.

    Units: wait_ms is for how much longer the caller may take the stream up.
    """

    request_id: str
    service_id: str
    software: str
    wait_ms: float


class StreamOriginNews(MessageBase, tag=61):
    """Report the origins of streams to an entry that keeps them."""

    origins: list[StreamOriginReport]


class StreamOriginRequest(MessageBase, tag=62):
    """Ask which software version began the stream of a request.

    `service_id` names the service that the request would go to now.
    """

    ask_id: int
    request_id: str
    service_id: str


class StreamOriginAnswer(MessageBase, tag=63):
    """Answer with the origin of a stream if it is known.

    `sole` holds the only software version of the service asked for that the sender has
    listed lately; it is empty if there were several.

    Units: observed_ms is for how long the sender has known the listing.
    """

    ask_id: int
    known: list[StreamOriginReport] = []
    sole: list[str] = []
    observed_ms: float = 0.0
