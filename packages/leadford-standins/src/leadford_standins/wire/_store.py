"""Stand in for the platform's metadata store: objects, lists, watches, faults.

Met by the forwarding entry through `platform/`; the object API of leadford's own
interface is another protocol, stood in for by `leadford_standins.store`.
"""

import asyncio
import copy
import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tornado import httpserver, iostream, web

# Changes that a watch can be caught up with; older revisions are gone.
HISTORY_EVENTS = 200
# Seconds between looks whether watches are still to say nothing.
DEAF_CHECK_S = 30.0
# Parts in which a slow answer leaves, so that some of it arrives all the time.
SLOW_PARTS = 50


class StoreFault(Enum):
    """Say how the store fails.

    `SLOW` answers after `StoreStandIn.slow_s`; `LOST` does what a call asks and then
    closes its connection without an answer.
    """

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"
    LOST = "lost"


_ENDS_WATCHES = (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT)


@dataclass(frozen=True)
class StoreCopy:
    """Hold what the store held at a moment."""

    objects_by_kind: dict[str, dict[str, dict]]
    revision: int

    def items(self) -> list[tuple[str, str, dict]]:
        """Return kind, name and object of each that the store held."""
        return [
            (kind, name, item)
            for kind, objects in self.objects_by_kind.items()
            for name, item in objects.items()
        ]


class StoreStandIn:
    """Hold objects by kind and name; every change raises one revision.

    `era_` is told in every answer, and rises with each restoration from a copy; a store
    of an older platform tells None.
    """

    def __init__(self) -> None:
        self.era_: int | None = 1
        # Removed since the last restoration, by kind and name.
        self.deleted_: set[tuple[str, str]] = set()
        self.objects_by_kind_: dict[str, dict[str, dict]] = {}
        self.history_: deque[tuple[int, str, bool, dict]] = deque(maxlen=HISTORY_EVENTS)
        self.forgotten_revision_ = 0
        self.revision_ = 0
        self.changed_ = asyncio.Event()
        self.fault = StoreFault.NONE
        self.slow_s = 1.0
        self.has_deaf_watches = False
        # Seconds that the body of an answer about a kind takes on its way.
        self.body_s_by_kind: dict[str, float] = {}
        # Seconds that the removal of an object takes.
        self.delete_s = 0.0
        self.calls_ = 0
        self.deletes_ = 0

    def start(self) -> str:
        """Listen on loopback and return the address."""
        application = web.Application(
            [(r"/leadford/objects/([^/]+)(?:/(.+))?", _ObjectHandler, {"store": self})],
            log_function=lambda handler: None,
        )
        self.server_ = httpserver.HTTPServer(application)
        self.server_.listen(0, address="127.0.0.1")
        sockets = self.server_._sockets.values()
        return f"127.0.0.1:{next(iter(sockets)).getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        self.server_.stop()

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Write an object."""
        self.revision_ += 1
        item = {
            "metadata": {"name": name, "revision": self.revision_, "finalizers": []},
            "spec": spec,
            "status": None,
        }
        self.objects_by_kind_.setdefault(kind, {})[name] = item
        self._note(kind, item, gone=False)

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        self.deleted_.add((kind, name))
        item = self.objects_by_kind_.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision_ += 1
        self._note(kind, item, gone=True)
        return True

    def forget_history(self) -> None:
        """Drop what watches would go on from."""
        self.history_.clear()
        self.forgotten_revision_ = self.revision_
        self._wake()

    def copy(self) -> StoreCopy:
        """Return what the store may be restored from."""
        return StoreCopy(copy.deepcopy(self.objects_by_kind_), self.revision_)

    def restore(self, held: StoreCopy) -> StoreCopy:
        """Come back from a copy; return what the store held, which may be gone."""
        before = self.copy()
        self.deleted_.clear()
        self.objects_by_kind_ = copy.deepcopy(held.objects_by_kind)
        self.revision_ = held.revision
        self.era_ += 1
        kept = [event for event in self.history_ if event[0] <= held.revision]
        self.history_ = deque(kept, maxlen=HISTORY_EVENTS)
        self._wake()
        return before

    def write_again(
        self, before: StoreCopy, held: StoreCopy, kinds: Iterable[str]
    ) -> None:
        """Write again what owners of kinds had written since a copy was made.

        What they have written after the restoration stays.
        """
        for kind, name, item in before.items():
            now = self.objects_by_kind_.get(kind, {}).get(name)
            lost = held.objects_by_kind.get(kind, {}).get(name)
            was_written = now != lost or (kind, name) in self.deleted_
            if kind in kinds and item != lost and not was_written:
                self.put(kind, name, item["spec"])
        for kind, name, item in held.items():
            now = self.objects_by_kind_.get(kind, {}).get(name)
            was_removed = name not in before.objects_by_kind.get(kind, {})
            if kind in kinds and was_removed and now == item:
                self.delete(kind, name)

    def _note(self, kind: str, item: dict, *, gone: bool) -> None:
        self.history_.append((self.revision_, kind, gone, item))
        self._wake()

    def _wake(self) -> None:
        self.changed_.set()
        self.changed_ = asyncio.Event()

    def events_after(self, kind: str, revision: int) -> list[dict] | None:
        """Return the changes of a kind, or None when they are not to be had."""
        if not self.forgotten_revision_ <= revision <= self.revision_:
            return None
        return [
            {"gone": gone, "object": item}
            for at, of_kind, gone, item in self.history_
            if at > revision and of_kind == kind
        ]


class _ObjectHandler(web.RequestHandler):
    """Serve the calls on objects."""

    def initialize(self, store: StoreStandIn) -> None:
        self.store = store

    def flush(self, include_footers: bool = False) -> asyncio.Future[None]:
        """Say in which era the store answers, not in which it was asked."""
        if self.store.era_ is not None:
            self.set_header("Store-Era", str(self.store.era_))
        return super().flush(include_footers)

    async def prepare(self) -> None:
        self.store.calls_ += 1
        fault = self.store.fault
        if fault is StoreFault.BUSY:
            raise web.HTTPError(503)
        if fault is StoreFault.SILENT:
            await asyncio.sleep(3_600)
        if fault is StoreFault.SLOW:
            await asyncio.sleep(self.store.slow_s)
        if fault is StoreFault.RESET:
            self._drop()

    def _drop(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.request.connection.stream.close()

    def _answer(self, body: dict) -> None:
        """Answer, unless answers are being lost."""
        if self.store.fault is StoreFault.LOST:
            self._drop()
            return
        self.finish(body)

    async def get(self, kind: str, name: str | None) -> None:
        objects = self.store.objects_by_kind_.get(kind, {})
        if name is not None:
            if name not in objects:
                raise web.HTTPError(404)
            self._answer(objects[name])
            return
        watch = self.get_query_argument("watch", None)
        if watch is None:
            items = [objects[key] for key in sorted(objects)]
            page = {"items": items, "more": False, "at": self.store.revision_}
            await self._finish_body(kind, page)
            return
        await self._watch(kind, int(watch))

    async def _watch(self, kind: str, revision: int) -> None:
        wait_s = int(self.get_query_argument("waitMs", "1000")) / 1_000.0
        until = asyncio.get_running_loop().time() + wait_s
        while True:
            while self.store.has_deaf_watches:
                await asyncio.sleep(DEAF_CHECK_S)
            changed = self.store.changed_
            events = self.store.events_after(kind, revision)
            if events is None:
                raise web.HTTPError(410)
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0.0 or self.store.fault in _ENDS_WATCHES:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        if self.store.fault in _ENDS_WATCHES:
            raise web.HTTPError(503)
        await self._finish_body(kind, {"events": events, "at": self.store.revision_})

    async def _finish_body(self, kind: str, page: dict) -> None:
        """Answer, at the pace that is set for the kind."""
        body_s = self.store.body_s_by_kind.get(kind, 0.0)
        if not body_s:
            self._answer(page)
            return
        body = json.dumps(page).encode()
        self.set_header("Content-Length", str(len(body)))
        size = len(body) // SLOW_PARTS + 1
        for start in range(0, len(body), size):
            self.write(body[start : start + size])
            try:
                await self.flush()
            except iostream.StreamClosedError:
                # The entry gave this answer up.
                return
            await asyncio.sleep(body_s / SLOW_PARTS)
        self.finish()

    def post(self, kind: str, name: str | None) -> None:
        item = json.loads(self.request.body)
        name = item["metadata"]["name"]
        if name in self.store.objects_by_kind_.get(kind, {}):
            raise web.HTTPError(409)
        self.store.put(kind, name, item["spec"])
        self._answer(self.store.objects_by_kind_[kind][name])

    async def delete(self, kind: str, name: str) -> None:
        self.store.deletes_ += 1
        await asyncio.sleep(self.store.delete_s)
        if not self.store.delete(kind, name):
            raise web.HTTPError(404)
        self._answer({})
