"""Turn an operator's change into the next head, or say why it cannot be made."""

import msgspec
from returns.result import Failure, Result, Success

from leadford.config._check import ConfigFault, check_config
from leadford.config._model import FleetConfig
from leadford.config._store_form import (
    AUDIT_RECORDS_KEPT,
    AuditRecord,
    ChunkDelta,
    ConfigChunk,
    ConfigHead,
    split,
)


class ConfigChange(msgspec.Struct, frozen=True):
    """Hold the next head and the chunks that must be stored before it."""

    head: ConfigHead
    new_chunks: tuple[ConfigChunk, ...]
    dropped_digests: tuple[str, ...]


def make_head(config: FleetConfig) -> ConfigHead:
    """Return the head of a first version without audit records."""
    digests = {name: chunk.digest for name, chunk in split(config).items()}
    return ConfigHead(1, digests)


def with_audit(head: ConfigHead, record: AuditRecord) -> ConfigHead:
    """Return a head that carries one more audit record, within the bound."""
    audit = (*head.audit, record)[-AUDIT_RECORDS_KEPT:]
    return msgspec.structs.replace(head, audit=audit)


def apply_change(
    head: ConfigHead,
    config: FleetConfig,
    *,
    command_id: str,
    operator: str,
    command: str,
    at_s: float,
) -> Result[ConfigChange, tuple[ConfigFault, ...]]:
    """Build the change that puts a configuration in force after a head."""
    faults = check_config(config)
    if faults:
        return Failure(tuple(faults))
    chunks_by_name = split(config)
    digests = {name: chunk.digest for name, chunk in chunks_by_name.items()}
    return Success(
        _next_change(
            head, digests, chunks_by_name, (command_id, operator, command, at_s)
        )
    )


def undo_to(
    head: ConfigHead, version: int, *, command_id: str, operator: str, at_s: float
) -> Result[ConfigChange, tuple[ConfigFault, ...]]:
    """Build the change that restores the chunks of an earlier version."""
    oldest = head.audit[0].from_version if head.audit else head.version
    if not oldest <= version < head.version:
        text = f"expected a version from {oldest} to {head.version - 1}"
        return Failure((ConfigFault("undo", text),))
    digests = dict(head.digests_by_chunk)
    for record in reversed(head.audit):
        if record.version <= version:
            break
        for delta in record.deltas:
            if delta.before:
                digests[delta.name] = delta.before
                continue
            digests.pop(delta.name, None)
    origin = (command_id, operator, f"undo {version}", at_s)
    return Success(_next_change(head, digests, {}, origin))


def _next_change(
    head: ConfigHead,
    digests: dict[str, str],
    chunks_by_name: dict[str, ConfigChunk],
    origin: tuple[str, str, str, float],
) -> ConfigChange:
    command_id, operator, command, at_s = origin
    deltas: list[ChunkDelta] = []
    for name in sorted({*head.digests_by_chunk, *digests}):
        before = head.digests_by_chunk.get(name, "")
        after = digests.get(name, "")
        if before != after:
            deltas.append(ChunkDelta(name, before, after))
    record = AuditRecord(
        version=head.version + 1,
        from_version=head.version,
        command_id=command_id,
        operator=operator,
        at_s=at_s,
        command=command,
        deltas=tuple(deltas),
    )
    bare = ConfigHead(head.version + 1, digests, head.audit)
    next_head = with_audit(bare, record)
    stored = _reachable(head)
    new = [chunk for chunk in chunks_by_name.values() if chunk.digest not in stored]
    dropped = stored - _reachable(next_head)
    return ConfigChange(next_head, tuple(new), tuple(sorted(dropped)))


def _reachable(head: ConfigHead) -> set[str]:
    digests = set(head.digests_by_chunk.values())
    for record in head.audit:
        digests.update(delta.before for delta in record.deltas)
        digests.update(delta.after for delta in record.deltas)
    digests.discard("")
    return digests
