"""The client of the platform's object API."""

from leadford_server.pipelines.store._client import (
    StoreClient,
    StoredValue,
    StoreError,
    StoreErrorKind,
)

__all__ = ["StoreClient", "StoreError", "StoreErrorKind", "StoredValue"]
