"""Read where a stream runs from what its caller sends back.

A caller that reads on names the endpoint, the attempt and the sequence that it was sent
last (`Last-Event-ID`); with them a stream is found again when every note of it is lost.
"""

import re

import msgspec

from leadford.common import EndpointId, RequestId, WorkspaceId
from leadford.pipelines.config import FleetConfig
from leadford.protocol import Note

# The end of a stream: greater than any sequence number.
SEQUENCE_END = 1 << 30
# The endpoint, the attempt there, and a sequence number or the end.
LOCATOR = re.compile(r"^([a-z0-9][a-z0-9_.-]{0,62})/(\d{1,6}):(\d{1,9}|end)$")


class Locator(msgspec.Struct, frozen=True):
    """Say where a stream runs and how much of it the caller has."""

    endpoint_id: EndpointId
    attempt: int
    sequence: int


def parse_locator(text: str) -> Locator | None:
    """Return the locator in a `Last-Event-ID`, or None."""
    match = LOCATOR.match(text)
    if match is None:
        return None
    sequence = SEQUENCE_END if match[3] == "end" else int(match[3])
    return Locator(EndpointId(match[1]), int(match[2]), sequence)


def note_from_locator(
    config: FleetConfig,
    request_id: RequestId,
    workspace: WorkspaceId,
    locator: Locator,
) -> Note | None:
    """Build the note that its holders lost, from what the caller remembers."""
    endpoint = config.endpoints.get(locator.endpoint_id)
    if endpoint is None:
        return None
    for pipeline_id, pipeline in config.pipelines.items():
        last = pipeline.stages[-1]
        if last.pool != endpoint.pool or not last.expected_tokens:
            continue
        return Note(
            request_id=request_id,
            workspace=workspace,
            pipeline=pipeline_id,
            stage=last.name,
            attempt=locator.attempt,
            endpoint_id=locator.endpoint_id,
            final=True,
            stream=True,
            entry_id="",
            body_digest="",
        )
    return None
