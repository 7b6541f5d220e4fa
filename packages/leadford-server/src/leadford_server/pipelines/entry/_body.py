"""Read what routing can use from a caller's body.

The body itself passes unread to the endpoints; a prompt gives the prefix by which an
engine is preferred, and how many tokens it has to read.
"""

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import PipelineId, WorkspaceId, decode_json, stable_hash
from leadford.quarantine import RequestContent, RequestDigest


class RequestBody(msgspec.Struct, frozen=True):
    """Hold what a caller sent.

    Units: prefill_tokens is a rough count of the prompt's words.
    """

    data: bytes
    digest: str
    prefix: str = ""
    prefill_tokens: int = 0

    def content_digest(
        self, pipeline_id: PipelineId, workspace: WorkspaceId
    ) -> RequestDigest:
        """Return what tells that two requests are the same work."""
        content = RequestContent("POST", "", pipeline_id, workspace, self.data)
        return content.digest()


class _PromptHints(msgspec.Struct):
    """Read the parts of a prompt."""

    system: str = ""
    prompt: str = ""


def read_body(data: bytes) -> Result[RequestBody, str]:
    """Return a body with its digest and prompt hints, or why it is not JSON."""
    read = decode_json(data, object)
    if isinstance(read, Failure):
        return read
    digest = f"{stable_hash(data.decode()):016x}"
    found = decode_json(data, _PromptHints)
    if isinstance(found, Failure):
        return Success(RequestBody(data, digest))
    hints = found.unwrap()
    prefix = f"{stable_hash(hints.system):016x}" if hints.system else ""
    words = hints.system.count(" ") + hints.prompt.count(" ") + 2
    return Success(RequestBody(data, digest, prefix, words))
