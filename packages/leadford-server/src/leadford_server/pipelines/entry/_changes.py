"""Make configuration changes: conditional, idempotent, audited, settled.

Called for operators (`_operators`). A change is planned from the newest head, its
chunks are stored, then the head by conditional update; one that lost a race is planned
again. The command id stands in the audit record, so that a change in doubt is found
again.
"""

import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from leadford.events import Event
from leadford.pipelines.config import (
    ConfigChange,
    ConfigFault,
    ConfigHead,
    FleetConfig,
    apply_change,
    check_transition,
    encode_head,
    undo_to,
)
from leadford.pipelines.language import Command, Undo, plan_command
from leadford_server.logs import EventLog
from leadford_server.pipelines.config import (
    CHUNK_PREFIX,
    HEAD_NAME,
    ConfigFollower,
    StoredHead,
    StoreSource,
)
from leadford_server.pipelines.store import StoreClient, StoreErrorKind

# Maximum number of times that a change is planned and written.
TRIES_MAX = 5
# Number of the newest audit records that the text of a conflict names.
CONFLICT_RECORDS_SHOWN = 5


class Origin(msgspec.Struct, frozen=True):
    """Say who asks for a change, by which command, read at which version.

    Units: if_version 0 stands for any version.
    """

    operator: str
    command_id: str
    text: str
    if_version: int = 0


class Accepted(msgspec.Struct, frozen=True):
    """Say at which version a change was accepted."""

    version: int
    repeated: bool = False


class ChangeRefusal(msgspec.Struct, frozen=True):
    """Say why a change was not accepted.

    A refusal with status 504 leaves open whether the change took effect; the same
    command id asked again settles it.
    """

    status: int
    message: str


Plan = Callable[[ConfigHead, FleetConfig], Result[ConfigChange, str]]


def plan_from_command(command: Command, origin: Origin) -> Plan:
    """Return the plan of a command of the language."""

    def plan(head: ConfigHead, config: FleetConfig) -> Result[ConfigChange, str]:
        now = time.time()
        if isinstance(command, Undo):
            undone = undo_to(
                head,
                command.version,
                command_id=origin.command_id,
                operator=origin.operator,
                at_s=now,
            )
            return undone.alt(_join_faults)
        planned = plan_command(config, command)
        if isinstance(planned, Failure):
            return Failure(str(planned.failure()))
        return _apply(head, config, planned.unwrap(), origin, now)

    return plan


def plan_from_config(wanted: FleetConfig, origin: Origin) -> Plan:
    """Return the plan that puts a whole configuration in force."""

    def plan(head: ConfigHead, config: FleetConfig) -> Result[ConfigChange, str]:
        return _apply(head, config, wanted, origin, time.time())

    return plan


def _apply(
    head: ConfigHead,
    config: FleetConfig,
    wanted: FleetConfig,
    origin: Origin,
    now: float,
) -> Result[ConfigChange, str]:
    faults = check_transition(config, wanted)
    if faults:
        return Failure(_join_faults(tuple(faults)))
    applied = apply_change(
        head,
        wanted,
        command_id=origin.command_id,
        operator=origin.operator,
        command=origin.text[:500],
        at_s=now,
    )
    return applied.alt(_join_faults)


def _join_faults(faults: tuple[ConfigFault, ...]) -> str:
    return "; ".join(str(fault) for fault in faults[:20])


class ChangeService:
    """Put changes to the head in the store, one conditional update each."""

    def __init__(
        self, *, store: StoreClient, follower: ConfigFollower, log: EventLog
    ) -> None:
        self.store = store
        self.follower = follower
        self.log = log

    async def change(
        self, plan: Plan, origin: Origin
    ) -> Result[Accepted, ChangeRefusal]:
        """Make a change, or say why not.

        Errors: a conflict with a change made since, a plan that does not fit, a store
        that does not answer.
        """
        in_doubt = False
        for _ in range(TRIES_MAX):
            read = await self.read_head()
            if isinstance(read, Failure):
                status = 504 if in_doubt else 503
                return Failure(ChangeRefusal(status, f"store: {read.failure()}"))
            stored = read.unwrap()
            done = self._find_command(stored.head, origin.command_id)
            if done is not None:
                return Success(Accepted(done, repeated=True))
            refusal = self._check_version(stored.head, origin)
            if refusal is not None:
                return Failure(refusal)
            planned = plan(stored.head, self.follower.tracker_.config_)
            if isinstance(planned, Failure):
                return Failure(ChangeRefusal(422, planned.failure()))
            kind = await self._write(stored, planned.unwrap())
            if kind is None:
                version = planned.unwrap().head.version
                self.log.report(
                    Event.CONFIG_ACCEPTED,
                    version=version,
                    operator=origin.operator,
                    command=origin.text[:200],
                )
                return Success(Accepted(version))
            in_doubt = in_doubt or kind is StoreErrorKind.IN_DOUBT
            if kind is StoreErrorKind.CONFLICT:
                self.log.report(Event.CONFIG_CONFLICT, operator=origin.operator)
        status = 504 if in_doubt else 503
        return Failure(ChangeRefusal(status, "the change could not be settled"))

    async def read_head(self) -> Result[StoredHead, str]:
        """Return the head in the store, once it is in force here too."""
        read = await StoreSource(store=self.store).head()
        if isinstance(read, Failure):
            return read
        stored = read.unwrap()
        await self.follower.apply_head(stored)
        if self.follower.version != stored.head.version:
            return Failure(f"version {stored.head.version} cannot be read here")
        return read

    def _find_command(self, head: ConfigHead, command_id: str) -> int | None:
        for record in head.audit:
            if record.command_id == command_id:
                return record.version
        return None

    def _check_version(self, head: ConfigHead, origin: Origin) -> ChangeRefusal | None:
        if origin.if_version in (0, head.version):
            return None
        since = [r for r in head.audit if r.version > origin.if_version]
        shown = "; ".join(
            f"version {r.version} by {r.operator}: {r.command}"
            for r in since[-CONFLICT_RECORDS_SHOWN:]
        )
        text = f"read at version {origin.if_version}, now {head.version}: {shown}"
        return ChangeRefusal(409, text)

    async def _write(
        self, stored: StoredHead, change: ConfigChange
    ) -> StoreErrorKind | None:
        """Store the chunks and then the head; return what failed."""
        for chunk in change.new_chunks:
            put = await self.store.put(CHUNK_PREFIX + chunk.key, chunk.data, None)
            if isinstance(put, Failure):
                return StoreErrorKind.UNAVAILABLE
        data = encode_head(change.head)
        put = await self.store.put(HEAD_NAME, data, stored.object_version)
        if isinstance(put, Failure):
            return put.failure().kind
        await self.follower.apply_head(StoredHead(change.head, put.unwrap()))
        for key in change.dropped_keys:
            await self.store.delete(CHUNK_PREFIX + key)
        return None
