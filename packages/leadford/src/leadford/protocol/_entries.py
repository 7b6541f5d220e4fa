"""Messages between entries of leadford's own interface.

Entries write claims for each other, record where attempts run, and relay configuration
and answers to operators' queries.
"""

import math
from enum import Enum

from leadford.protocol._base import MessageBase


class Note(MessageBase, tag=16):
    """Tell a scheduler where an attempt of a request runs.

    Units: age_ms is the time since the answering scheduler got the note, inf if it
    does not tell.
    """

    request_id: str
    workspace: str
    pipeline: str
    stage: str
    attempt: int
    endpoint_id: str
    final: bool
    stream: bool
    entry_id: str
    body_digest: str
    age_ms: float = math.inf


class NoteRequest(MessageBase, tag=17):
    """Ask a scheduler for the note of a request."""

    request_id: str


class NoteAnswer(MessageBase, tag=18):
    """Answer with the latest note of a request, if the scheduler has one."""

    request_id: str
    note: Note | None = None


class HeadRequest(MessageBase, tag=20):
    """Ask a peer for the configuration head that it uses."""

    version: int


class HeadAnswer(MessageBase, tag=21):
    """Answer with an encoded configuration head."""

    version: int
    head: bytes


class ChunkRequest(MessageBase, tag=22):
    """Ask a peer for configuration chunks by key."""

    keys: list[str]


class ChunkAnswer(MessageBase, tag=23):
    """Answer with an encoded configuration chunk."""

    key: str
    chunk: bytes


class ClaimVerdict(Enum):
    """Name the result of a claim."""

    GRANTED = 1
    ALREADY_CLAIMED = 2
    STORE_UNAVAILABLE = 3
    FULL = 4


class ClaimRequest(MessageBase, tag=24):
    """Ask the entry that owns a shard to add a claim to its next batch."""

    claim_id: str
    request_id: str
    remaining_ms: float


class ClaimAnswer(MessageBase, tag=25):
    """Answer a claim request."""

    claim_id: str
    verdict: ClaimVerdict


class Query(MessageBase, tag=26):
    """Ask a peer for its rows of a table."""

    query_id: str
    table: str
    argument: str = ""


class QueryAnswer(MessageBase, tag=27):
    """Answer a query with rows as JSON."""

    query_id: str
    rows: bytes
