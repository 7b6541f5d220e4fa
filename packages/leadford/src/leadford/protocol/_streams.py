"""Messages about which software version began a stream.

An entry of an earlier build gets none of them.
"""

from leadford.protocol._base import MessageBase


class StreamOriginReport(MessageBase):
    """Report which software version of a service began the stream of a request.

    `content` is the same for all tries of a request.

    Units: wait_ms is for how much longer the caller may resume the stream.
    """

    request_id: str
    content: str
    service_id: str
    software: str
    wait_ms: float


class StreamOriginNews(MessageBase, tag=61):
    """Report the origins of streams to an entry that holds replicas."""

    origins: list[StreamOriginReport]


class StreamOriginRequest(MessageBase, tag=62):
    """Ask which software version began a stream.

    `request_id` is empty if the caller does not name the request that began it; then
    all streams of the same content are asked for. `service_id` names the service that
    the stream would go to now.
    """

    ask_id: int
    request_id: str
    content: str
    service_id: str


class StreamOriginAnswer(MessageBase, tag=63):
    """Answer with the origins of the streams that were asked for, if any are known.

    `sole` holds the only software version of the service asked for that the sender has
    listed lately; it is empty if there were several.

    Units: observed_ms is for how long the sender has known the listing, complete_ms for
    how long it has missed no stream.
    """

    ask_id: int
    known: list[StreamOriginReport] = []
    sole: list[str] = []
    observed_ms: float = 0.0
    complete_ms: float = 0.0
