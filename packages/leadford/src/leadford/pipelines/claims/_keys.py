"""Derive request ids and shards from idempotency keys.

Every entry and every version must derive the same id and shard from a key, because
claims are stored under them.
"""

from hashlib import blake2b

from leadford.common import RequestId, WorkspaceId, stable_hash

# Length of the digest in a request id; changing it changes the stored form.
REQUEST_ID_BYTES = 16


def request_id_for_key(workspace: WorkspaceId, key: str) -> RequestId:
    """Return the request id for an idempotency key of a workspace."""
    text = f"{workspace}\x00{key}".encode()
    return RequestId("k" + blake2b(text, digest_size=REQUEST_ID_BYTES).hexdigest())


def shard_of(request_id: RequestId, shards: int) -> int:
    """Return the index of the claim shard of a request id."""
    return stable_hash("claim", request_id) % shards
