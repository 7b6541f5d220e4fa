"""Turn an operator's change into the next head, or say why it cannot be made.

Called by the entry that an operator asked. The chunks are stored first, then the head
by conditional update: a change that lost a race is made again from the newer head.
"""

import msgspec
from returns.result import Failure, Result, Success

from leadford.pipelines.config._check import ConfigFault, check_config
from leadford.pipelines.config._model import FleetConfig
from leadford.pipelines.config._store_form import (
    AUDIT_RECORDS_KEPT,
    AuditRecord,
    ChunkDelta,
    ConfigChunk,
    ConfigHead,
    digest_of_key,
    split,
)


class ConfigChange(msgspec.Struct, frozen=True):
    """Hold the next head and the chunks that must be stored before it."""

    head: ConfigHead
    new_chunks: tuple[ConfigChunk, ...]
    dropped_keys: tuple[str, ...]


def make_head(config: FleetConfig) -> ConfigHead:
    """Return the head of a first version without audit records."""
    keys = {name: chunk.key for name, chunk in split(config).items()}
    return ConfigHead(1, keys)


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
    keys: dict[str, str] = {}
    new: list[ConfigChunk] = []
    for name, chunk in split(config, head.version + 1).items():
        known = head.keys_by_chunk.get(name, "")
        if digest_of_key(known) == digest_of_key(chunk.key):
            keys[name] = known
            continue
        keys[name] = chunk.key
        new.append(chunk)
    origin = (command_id, operator, command, at_s)
    return Success(_next_change(head, keys, new, origin))


def undo_to(
    head: ConfigHead, version: int, *, command_id: str, operator: str, at_s: float
) -> Result[ConfigChange, tuple[ConfigFault, ...]]:
    """Build the change that restores the chunks of an earlier version."""
    oldest = head.audit[0].from_version if head.audit else head.version
    if not oldest <= version < head.version:
        text = f"expected a version from {oldest} to {head.version - 1}"
        return Failure((ConfigFault("undo", text),))
    keys = dict(head.keys_by_chunk)
    for record in reversed(head.audit):
        if record.version <= version:
            break
        for delta in record.deltas:
            if delta.before:
                keys[delta.name] = delta.before
                continue
            keys.pop(delta.name, None)
    origin = (command_id, operator, f"undo {version}", at_s)
    return Success(_next_change(head, keys, [], origin))


def _next_change(
    head: ConfigHead,
    keys: dict[str, str],
    new: list[ConfigChunk],
    origin: tuple[str, str, str, float],
) -> ConfigChange:
    command_id, operator, command, at_s = origin
    deltas: list[ChunkDelta] = []
    for name in sorted({*head.keys_by_chunk, *keys}):
        before = head.keys_by_chunk.get(name, "")
        after = keys.get(name, "")
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
    bare = ConfigHead(head.version + 1, keys, head.audit)
    next_head = with_audit(bare, record)
    dropped = _reachable(head) - _reachable(next_head)
    return ConfigChange(next_head, tuple(new), tuple(sorted(dropped)))


def _reachable(head: ConfigHead) -> set[str]:
    keys = set(head.keys_by_chunk.values())
    for record in head.audit:
        keys.update(delta.before for delta in record.deltas)
        keys.update(delta.after for delta in record.deltas)
    keys.discard("")
    return keys
