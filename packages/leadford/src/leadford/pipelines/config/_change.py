"""Build the next head from an operator's change, or return why it is invalid.

Called by the entry that received the operator's command. The chunks are stored first,
then the head by a conditional update. If another change was stored in between, the
update fails and the change is built again from the newer head.
"""

import msgspec
from returns.result import Failure, Result, Success

from leadford.pipelines.config._check import ConfigFault, check_config
from leadford.pipelines.config._model import FleetConfig
from leadford.pipelines.config._store_form import (
    MAX_AUDIT_RECORDS,
    AuditRecord,
    ChunkDelta,
    ConfigChunk,
    ConfigHead,
    digest_of_key,
    split,
)


class ConfigChange(msgspec.Struct, frozen=True):
    """Hold the next head, the chunks to store before it and the keys no longer used."""

    head: ConfigHead
    new_chunks: tuple[ConfigChunk, ...]
    dropped_keys: tuple[str, ...]


def make_head(config: FleetConfig) -> ConfigHead:
    """Return the head of version 1, without audit records."""
    keys = {name: chunk.key for name, chunk in split(config).items()}
    return ConfigHead(1, keys)


def with_audit(head: ConfigHead, record: AuditRecord) -> ConfigHead:
    """Append an audit record to a head and drop the oldest beyond the maximum."""
    audit = (*head.audit, record)[-MAX_AUDIT_RECORDS:]
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
    """Build the change from the version of a head to a new configuration."""
    faults = check_config(config)
    if faults:
        return Failure(tuple(faults))
    keys: dict[str, str] = {}
    new_chunks: list[ConfigChunk] = []
    for name, chunk in split(config, head.version + 1).items():
        stored_key = head.keys_by_chunk.get(name, "")
        if digest_of_key(stored_key) == digest_of_key(chunk.key):
            keys[name] = stored_key
            continue
        keys[name] = chunk.key
        new_chunks.append(chunk)
    origin = (command_id, operator, command, at_s)
    return Success(_next_change(head, keys, new_chunks, origin))


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
    new_chunks: list[ConfigChunk],
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
    head_without_record = ConfigHead(head.version + 1, keys, head.audit)
    next_head = with_audit(head_without_record, record)
    dropped = _reachable_keys(head) - _reachable_keys(next_head)
    return ConfigChange(next_head, tuple(new_chunks), tuple(sorted(dropped)))


def _reachable_keys(head: ConfigHead) -> set[str]:
    keys = set(head.keys_by_chunk.values())
    for record in head.audit:
        keys.update(delta.before for delta in record.deltas)
        keys.update(delta.after for delta in record.deltas)
    keys.discard("")
    return keys
