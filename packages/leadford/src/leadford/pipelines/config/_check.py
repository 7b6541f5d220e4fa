"""Validate a complete configuration and list every fault with its path.

Called before a change is stored and again when a stored configuration is read.
"""

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import PoolKind
from leadford.pipelines.config._model import (
    EndpointConfig,
    EntryConfig,
    FleetConfig,
    ModelConfig,
    Name,
    OperatorConfig,
    PipelineConfig,
    PoolConfig,
    TuningConfig,
    WorkspaceConfig,
)
from leadford.pipelines.queues import queue_policies
from leadford.pipelines.routing import routing_policies

_PART_TYPES_BY_TABLE = {
    "pools": PoolConfig,
    "endpoints": EndpointConfig,
    "entries": EntryConfig,
    "pipelines": PipelineConfig,
    "workspaces": WorkspaceConfig,
    "operators": OperatorConfig,
    "models": ModelConfig,
}


class ConfigFault(msgspec.Struct, frozen=True):
    """Describe one fault of a configuration: its path and what was expected."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def config_from_document(
    document: dict[str, Any],
) -> Result[FleetConfig, tuple[ConfigFault, ...]]:
    """Build a configuration from a parsed document.

    Errors: every fault of structure and values; if there are none, every fault that
    `check_config` finds.
    """
    faults: list[ConfigFault] = []
    parts_by_table: dict[str, dict[str, Any]] = {}
    for name in sorted(set(document) - {*_PART_TYPES_BY_TABLE, "objective", "tuning"}):
        faults.append(ConfigFault(name, "unknown table"))
    for table, part_type in _PART_TYPES_BY_TABLE.items():
        parts_by_table[table] = _convert_table(document, table, part_type, faults)
    tuning = _convert(document.get("tuning", {}), TuningConfig, "tuning", faults)
    top_level_fields = {"objective": document.get("objective", "attainment")}
    config_without_parts = _convert(top_level_fields, FleetConfig, "", faults)
    if faults:
        return Failure(tuple(faults))
    config = msgspec.structs.replace(
        config_without_parts, tuning=tuning, **parts_by_table
    )
    faults = check_config(config)
    if faults:
        return Failure(tuple(faults))
    return Success(config)


def _convert_table(
    document: dict[str, Any], table: str, part_type: type, faults: list[ConfigFault]
) -> dict[str, Any]:
    raw = document.get(table, {})
    if not isinstance(raw, dict):
        faults.append(ConfigFault(table, "must be a table of named parts"))
        return {}
    parts: dict[str, Any] = {}
    for name, value in raw.items():
        path = f"{table}.{name}"
        _convert({name: None}, dict[Name, None], path, faults)
        parts[name] = _convert(value, part_type, path, faults)
    return parts


def _convert(value: Any, target_type: Any, path: str, faults: list[ConfigFault]) -> Any:
    known_fields = getattr(target_type, "__struct_fields__", None)
    if known_fields is not None and isinstance(value, dict):
        for field in sorted(set(value) - set(known_fields)):
            faults.append(ConfigFault(f"{path}.{field}", "unknown setting"))
    try:
        # TOML has no tuples: msgspec converts its arrays to the tuples of the model.
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError as error:
        text, _, error_path = str(error).partition(" - at `$")
        faults.append(ConfigFault((path + error_path.rstrip("`")).lstrip("."), text))
        return None


def check_config(config: FleetConfig) -> list[ConfigFault]:
    """Return the faults in policies, references and totals of a typed configuration."""
    faults: list[ConfigFault] = []
    _check_policies(config, faults)
    _check_pipelines(config, faults)
    for name, endpoint in config.endpoints.items():
        if endpoint.pool not in config.pools:
            path = f"endpoints.{name}.pool"
            faults.append(ConfigFault(path, f"no pool {endpoint.pool!r}"))
    for name, model in config.models.items():
        if model.pool not in config.pools:
            faults.append(ConfigFault(f"models.{name}.pool", f"no pool {model.pool!r}"))
    _check_minimums(config, faults)
    _check_key_hashes(config, faults)
    return faults


def _check_policies(config: FleetConfig, faults: list[ConfigFault]) -> None:
    routing_names = ", ".join(routing_policies)
    if config.tuning.routing not in routing_policies:
        faults.append(
            ConfigFault("tuning.routing", f"expected one of: {routing_names}")
        )
    if config.tuning.queue not in queue_policies:
        text = f"expected one of: {', '.join(queue_policies)}"
        faults.append(ConfigFault("tuning.queue", text))
    for name, pool in config.pools.items():
        if pool.routing and pool.routing not in routing_policies:
            text = f"expected one of: {routing_names}"
            faults.append(ConfigFault(f"pools.{name}.routing", text))


def _check_pipelines(config: FleetConfig, faults: list[ConfigFault]) -> None:
    for name, pipeline in config.pipelines.items():
        seen: set[str] = set()
        for index, stage in enumerate(pipeline.stages):
            path = f"pipelines.{name}.stages[{index}]"
            if stage.name in seen:
                faults.append(ConfigFault(path, f"stage {stage.name!r} stands twice"))
            seen.add(stage.name)
            pool = config.pools.get(stage.pool)
            if pool is None:
                faults.append(ConfigFault(f"{path}.pool", f"no pool {stage.pool!r}"))
                continue
            if pool.kind is PoolKind.ENGINE and stage.expected_tokens == 0:
                text = "an engine stage must expect at least 1 token"
                faults.append(ConfigFault(f"{path}.expected_tokens", text))
            if stage.hedge and not stage.repeatable:
                text = "a stage that may not be repeated cannot be hedged"
                faults.append(ConfigFault(f"{path}.hedge", text))


def _check_minimums(config: FleetConfig, faults: list[ConfigFault]) -> None:
    total = sum(workspace.minimum for workspace in config.workspaces.values())
    if total > 1.0 + 1e-9:
        text = f"guaranteed minimums add up to {total:.3f}, at most 1 is possible"
        faults.append(ConfigFault("workspaces", text))


def _check_key_hashes(config: FleetConfig, faults: list[ConfigFault]) -> None:
    owner_by_hash: dict[str, str] = {}
    for name, workspace in config.workspaces.items():
        for key_hash in workspace.key_hashes:
            owner = owner_by_hash.setdefault(key_hash, name)
            if owner == name:
                continue
            text = f"an API key of workspace {owner!r} stands here too"
            faults.append(ConfigFault(f"workspaces.{name}.key_hashes", text))


FIXED_TUNING_FIELDS = ("claim_shards", "claim_ring")


def check_transition(before: FleetConfig, after: FleetConfig) -> list[ConfigFault]:
    """Return the faults of replacing a configuration in force by another."""
    faults: list[ConfigFault] = []
    for name in FIXED_TUNING_FIELDS:
        previous = getattr(before.tuning, name)
        if getattr(after.tuning, name) == previous:
            continue
        # Processes adopt a version at different moments. In between, they would claim
        # the same key in two places.
        text = f"must stay {previous} while the fleet runs: claims are found by it"
        faults.append(ConfigFault(f"tuning.{name}", text))
    return faults
