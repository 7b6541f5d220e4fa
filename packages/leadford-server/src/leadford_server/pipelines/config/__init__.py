"""Follow the configuration, from the store or from a peer with a newer version."""

from leadford_server.pipelines.config._follower import ConfigFollower
from leadford_server.pipelines.config._source import (
    CHUNK_PREFIX,
    HEAD_NAME,
    ConfigSource,
    StoredHead,
    StoreSource,
)

__all__ = [
    "CHUNK_PREFIX",
    "HEAD_NAME",
    "ConfigFollower",
    "ConfigSource",
    "StoreSource",
    "StoredHead",
]
