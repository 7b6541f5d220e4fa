"""Derive request ids and shards from idempotency keys.

The same key gives the same id and shard in every entry and every version: claims are
stored under them.
"""

from hashlib import blake2b

from leadford.common import RequestId, WorkspaceId, stable_hash

# Bytes of the digest in a request id; a part of the stored form.
REQUEST_ID_BYTES = 16


def request_id_for_key(workspace: WorkspaceId, key: str) -> RequestId:
    """Return the request id that a workspace's key always maps to."""
    text = f"{workspace}\x00{key}".encode()
    return RequestId("k" + blake2b(text, digest_size=REQUEST_ID_BYTES).hexdigest())


def shard_of(request_id: RequestId, shards: int) -> int:
    """Return the claim shard of a request id."""
    return stable_hash("claim", request_id) % shards
