"""Stand in for the platform's metadata store: objects, lists, watches and faults.

The forwarding entry calls it through `platform/`. The object API of leadford's own
interface is another protocol; its stand-in is `leadford_standins.store`.
"""

import asyncio
import copy
import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tornado import httpserver, iostream, web

# Changes that are kept for watches; older ones are discarded.
MAX_HISTORY_EVENTS = 200
SILENT_WATCH_POLL_INTERVAL_S = 30.0
# A slow answer is sent in parts, so that data arrives all the time.
SLOW_BODY_PART_COUNT = 50


class StoreFault(Enum):
    """Enumerate the faults of the store.

    `SLOW` answers after `StoreStandIn.slow_s` seconds; `LOST` executes a call and then
    closes its connection without an answer.
    """

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"
    LOST = "lost"


_FAULTS_ENDING_WATCHES = (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT)


@dataclass(frozen=True)
class StoreCopy:
    """Hold a copy of the store's objects and revision at one moment."""

    objects_by_kind: dict[str, dict[str, dict]]
    revision: int

    def items(self) -> list[tuple[str, str, dict]]:
        """Return the kind, name and content of each object in the copy."""
        return [
            (kind, name, item)
            for kind, objects in self.objects_by_kind.items()
            for name, item in objects.items()
        ]


class StoreStandIn:
    """Hold objects by kind and name; every change increments the store's revision.

    `era_` is the epoch of the store. Every answer contains it, and each restoration
    from a copy increments it. It is None for a store of an older platform, which sends
    no epoch.
    """

    def __init__(self) -> None:
        self.era_: int | None = 1
        # Kind and name of each object removed since the last restoration.
        self.deleted_since_restore_: set[tuple[str, str]] = set()
        self.objects_by_kind_: dict[str, dict[str, dict]] = {}
        self.history_: deque[tuple[int, str, bool, dict]] = deque(
            maxlen=MAX_HISTORY_EVENTS
        )
        self.forgotten_revision_ = 0
        self.revision_ = 0
        self.changed_ = asyncio.Event()
        self.fault = StoreFault.NONE
        self.slow_s = 1.0
        self.leaves_watches_unanswered = False
        # Seconds over which the body of an answer about a kind is sent.
        self.body_s_by_kind: dict[str, float] = {}
        # Texts of objects that are replaced in answers, by values that `json` does not
        # write.
        self.json_by_text: dict[str, str] = {}
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
        self._record_change(kind, item, gone=False)

    def encode(self, page: dict) -> bytes:
        """Return the body of an answer."""
        text = json.dumps(page)
        for replaced, value in self.json_by_text.items():
            text = text.replace(json.dumps(replaced), value)
        return text.encode()

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it existed."""
        self.deleted_since_restore_.add((kind, name))
        item = self.objects_by_kind_.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision_ += 1
        self._record_change(kind, item, gone=True)
        return True

    def forget_history(self) -> None:
        """Discard the changes from which watches can resume."""
        self.history_.clear()
        self.forgotten_revision_ = self.revision_
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(copy.deepcopy(self.objects_by_kind_), self.revision_)

    def restore(self, held: StoreCopy) -> StoreCopy:
        """Restore the store from a copy; return a copy of its state before that."""
        before = self.copy()
        self.deleted_since_restore_.clear()
        self.objects_by_kind_ = copy.deepcopy(held.objects_by_kind)
        self.revision_ = held.revision
        self.era_ += 1
        kept = [event for event in self.history_ if event[0] <= held.revision]
        self.history_ = deque(kept, maxlen=MAX_HISTORY_EVENTS)
        self._notify_watches()
        return before

    def rewrite_lost_objects(
        self, before: StoreCopy, held: StoreCopy, kinds: Iterable[str]
    ) -> None:
        """Repeat the writes to kinds that a restoration from a copy has lost.

        `before` is the state before the restoration from `held`. Objects that were
        written or removed after the restoration stay as they are.
        """
        for kind, name, item in before.items():
            current = self.objects_by_kind_.get(kind, {}).get(name)
            copied = held.objects_by_kind.get(kind, {}).get(name)
            was_written = (
                current != copied or (kind, name) in self.deleted_since_restore_
            )
            if kind in kinds and item != copied and not was_written:
                self.put(kind, name, item["spec"])
        for kind, name, item in held.items():
            current = self.objects_by_kind_.get(kind, {}).get(name)
            was_removed = name not in before.objects_by_kind.get(kind, {})
            if kind in kinds and was_removed and current == item:
                self.delete(kind, name)

    def _record_change(self, kind: str, item: dict, *, gone: bool) -> None:
        self.history_.append((self.revision_, kind, gone, item))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed_.set()
        self.changed_ = asyncio.Event()

    def events_after(self, kind: str, revision: int) -> list[dict] | None:
        """Return the changes of a kind after a revision, None if unavailable."""
        if not self.forgotten_revision_ <= revision <= self.revision_:
            return None
        return [
            {"gone": gone, "object": item}
            for at, of_kind, gone, item in self.history_
            if at > revision and of_kind == kind
        ]


class _ObjectHandler(web.RequestHandler):
    """Serve the calls of the object API."""

    def initialize(self, store: StoreStandIn) -> None:
        self.store = store

    def flush(self, include_footers: bool = False) -> asyncio.Future[None]:
        """Send the epoch at the time of the answer, not that of the call."""
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
            self._close_connection()

    def _close_connection(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.request.connection.stream.close()

    def _answer(self, body: dict) -> None:
        """Send an answer, or close the connection under `StoreFault.LOST`."""
        if self.store.fault is StoreFault.LOST:
            self._close_connection()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(self.store.encode(body))

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
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            while self.store.leaves_watches_unanswered:
                await asyncio.sleep(SILENT_WATCH_POLL_INTERVAL_S)
            changed = self.store.changed_
            events = self.store.events_after(kind, revision)
            if events is None:
                raise web.HTTPError(410)
            remaining_s = deadline - asyncio.get_running_loop().time()
            if (
                events
                or remaining_s <= 0.0
                or self.store.fault in _FAULTS_ENDING_WATCHES
            ):
                break
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue
        if self.store.fault in _FAULTS_ENDING_WATCHES:
            raise web.HTTPError(503)
        await self._finish_body(kind, {"events": events, "at": self.store.revision_})

    async def _finish_body(self, kind: str, page: dict) -> None:
        """Send an answer over the duration that is set for the kind."""
        body_s = self.store.body_s_by_kind.get(kind, 0.0)
        if not body_s:
            self._answer(page)
            return
        body = self.store.encode(page)
        self.set_header("Content-Length", str(len(body)))
        size = len(body) // SLOW_BODY_PART_COUNT + 1
        for start in range(0, len(body), size):
            self.write(body[start : start + size])
            try:
                await self.flush()
            except iostream.StreamClosedError:
                # The entry has closed the connection.
                return
            await asyncio.sleep(body_s / SLOW_BODY_PART_COUNT)
        self.finish()

    def post(self, kind: str, name: str | None) -> None:
        item = json.loads(self.request.body)
        name = item["metadata"]["name"]
        if name in self.store.objects_by_kind_.get(kind, {}):
            raise web.HTTPError(409)
        self.store.put(kind, name, item["spec"])
        self._answer(self.store.objects_by_kind_[kind][name])

    def put(self, kind: str, name: str) -> None:
        item = json.loads(self.request.body)
        found = self.store.objects_by_kind_.get(kind, {}).get(name)
        if found is None:
            raise web.HTTPError(404)
        revision = item["metadata"].get("revision")
        if revision not in (None, found["metadata"]["revision"]):
            raise web.HTTPError(409)
        if item["spec"] != found["spec"]:
            self.store.put(kind, name, item["spec"])
        self._answer(self.store.objects_by_kind_[kind][name])

    async def delete(self, kind: str, name: str) -> None:
        self.store.deletes_ += 1
        await asyncio.sleep(self.store.delete_s)
        revision = self.get_query_argument("revision", None)
        item = self.store.objects_by_kind_.get(kind, {}).get(name)
        if revision and item and item["metadata"]["revision"] != int(revision):
            raise web.HTTPError(409)
        if not self.store.delete(kind, name):
            raise web.HTTPError(404)
        self._answer({})
