"""Read and write leadford's own objects of one kind in the platform's store.

Every write depends on the revision that was read, so a write that the store does late
undoes none that came after it.
"""

import msgspec
from returns.result import Failure, Result, Success

from leadford_server.forwarding._store_contract import ObjectCodec, StoreFailure
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_or_none,
    decoded_record_or_none,
    report_unreadable,
)


class StoredSpec(msgspec.Struct, frozen=True):
    """Hold the name of an object, what it holds, and its revision."""

    name: str
    spec: object
    revision: int


class OwnObjects:
    """Read and write the objects of one kind."""

    def __init__(
        self, *, kind: str, client: ObjectsClient, objects: ObjectCodec
    ) -> None:
        self.kind = kind
        self.client = client
        self.objects = objects

    async def read(
        self, name: str, *, accepts_earlier: bool = False
    ) -> Result[StoredSpec, StoreFailure]:
        """Return an object.

        With `accepts_earlier` the answer to an earlier read counts too, however late.

        Errors: NOT_FOUND if there is none.
        """
        answer = await self.client.call(
            self.objects.object_path(self.kind, name), accepts_earlier=accepts_earlier
        )
        if isinstance(answer, Failure):
            return answer
        return self._decoded(name, answer.unwrap().body)

    async def list_all(
        self, *, accepts_earlier: bool = False
    ) -> list[StoredSpec] | None:
        """Return all objects, None if a page cannot be had.

        With `accepts_earlier` the answer to an earlier read counts too, however late.
        """
        after: str | None = None
        found: list[StoredSpec] = []
        while True:
            path = self.objects.list_path(self.kind, after)
            answer = await self.client.call(path, accepts_earlier=accepts_earlier)
            if isinstance(answer, Failure):
                return None
            read = self.objects.read_list(answer.unwrap().body)
            page = decoded_or_none(read, self.client.log)
            if page is None:
                return None
            for fault in page.faults:
                report_unreadable(fault, self.client.log)
            found += [self._stored(item) for item in page.items]
            after = page.next_name
            if after is None:
                return found

    async def write(
        self, name: str, spec: dict, revision: int | None
    ) -> Result[int, StoreFailure]:
        """Replace a revision of an object, or make it; return the new revision."""
        is_new = revision is None
        answer = await self.client.call(
            self.objects.object_path(self.kind, "" if is_new else name),
            method="POST" if is_new else "PUT",
            body=self.objects.own_object(name, spec, revision),
        )
        if isinstance(answer, Failure):
            return answer
        return self._decoded(name, answer.unwrap().body).map(
            lambda stored: stored.revision
        )

    async def delete(self, name: str, revision: int) -> bool:
        """Remove an object; return whether the store holds that revision no longer."""
        path = self.objects.object_path(self.kind, name, revision)
        answer = await self.client.call(path, method="DELETE")
        if not isinstance(answer, Failure):
            return True
        return answer.failure() in (StoreFailure.NOT_FOUND, StoreFailure.CONFLICT)

    def _decoded(self, name: str, body: bytes) -> Result[StoredSpec, StoreFailure]:
        read = self.objects.read_object(body)
        item = decoded_record_or_none(read, name, self.client.log)
        if item is None:
            return Failure(StoreFailure.UNAVAILABLE)
        return Success(self._stored(item))

    def _stored(self, item: dict) -> StoredSpec:
        return StoredSpec(
            self.objects.object_name(item),
            self.objects.object_spec(item),
            self.objects.object_revision(item),
        )
