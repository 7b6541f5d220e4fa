"""Apply a command to a configuration and return the changed configuration.

The functions have no side effects: the entry validates and stores the result with
`leadford.pipelines.config`. A command that is invalid for the configuration in force
changes nothing.
"""

from collections.abc import Callable

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from leadford.common import Objective
from leadford.pipelines.config import (
    EndpointConfig,
    FleetConfig,
    ModelConfig,
    StageConfig,
    TuningConfig,
    WorkspaceConfig,
)
from leadford.pipelines.language import _statements as s


class CommandError(msgspec.Struct, frozen=True):
    """Describe why a command is invalid for the configuration in force."""

    message: str

    def __str__(self) -> str:
        return self.message


class _InvalidCommandError(Exception):
    """Report from a handler why its command is invalid."""


def _get_existing(table: dict, name: str, label: str) -> object:
    found = table.get(name)
    if found is None:
        raise _InvalidCommandError(f"no {label} {name!r}")
    return found


def _with_part(config: FleetConfig, table: str, name: str, part: object) -> FleetConfig:
    return replace(config, **{table: {**getattr(config, table), name: part}})


def _without_part(
    config: FleetConfig, table: str, name: str, label: str
) -> FleetConfig:
    parts = dict(getattr(config, table))
    _get_existing(parts, name, label)
    del parts[name]
    return replace(config, **{table: parts})


def _drain(config: FleetConfig, command: s.Drain) -> FleetConfig:
    endpoints = dict(config.endpoints)
    found = False
    for name, endpoint in config.endpoints.items():
        name_by_scope = {
            s.Scope.ENDPOINT: name,
            s.Scope.HOST: endpoint.host,
            s.Scope.HALL: endpoint.hall,
        }
        if name_by_scope[command.scope] != command.name:
            continue
        found = True
        endpoints[name] = replace(endpoint, draining=command.draining)
    if not found:
        raise _InvalidCommandError(
            f"no endpoint at {command.scope.value} {command.name!r}"
        )
    return replace(config, endpoints=endpoints)


def _replace_pipeline(config: FleetConfig, name: str, **changes: object) -> FleetConfig:
    pipeline = _get_existing(config.pipelines, name, "pipeline")
    return _with_part(config, "pipelines", name, replace(pipeline, **changes))


def _replace_workspace(
    config: FleetConfig, name: str, **changes: object
) -> FleetConfig:
    workspace = _get_existing(config.workspaces, name, "workspace")
    return _with_part(config, "workspaces", name, replace(workspace, **changes))


def _set_tuning(config: FleetConfig, command: s.SetTuning) -> FleetConfig:
    fields = {field.name: field for field in msgspec.structs.fields(TuningConfig)}
    field = _get_existing(fields, command.name, "tuning")
    value: object = command.value
    if value in ("true", "false"):
        value = value == "true"
    elif isinstance(value, float) and value.is_integer():
        value = int(value)
    try:
        value = msgspec.convert(value, field.type)
    except msgspec.ValidationError as error:
        raise _InvalidCommandError(f"{command.name}: {error}") from error
    return replace(config, tuning=replace(config.tuning, **{command.name: value}))


def _add_workspace(config: FleetConfig, command: s.AddWorkspace) -> FleetConfig:
    if command.name in config.workspaces:
        raise _InvalidCommandError(f"workspace {command.name!r} is there already")
    hashes = (command.key_hash,) if command.key_hash else ()
    part = WorkspaceConfig(
        share=command.share, minimum=command.minimum, key_hashes=hashes
    )
    return _with_part(config, "workspaces", command.name, part)


def _add_endpoint(config: FleetConfig, command: s.AddEndpoint) -> FleetConfig:
    if command.name in config.endpoints:
        raise _InvalidCommandError(f"endpoint {command.name!r} is there already")
    part = EndpointConfig(
        pool=command.pool,
        host=command.host,
        hall=command.hall,
        agent=command.agent,
        url=command.url,
    )
    return _with_part(config, "endpoints", command.name, part)


def _add_stage(config: FleetConfig, command: s.AddStage) -> FleetConfig:
    pipeline = _get_existing(config.pipelines, command.pipeline, "pipeline")
    stage_names = [stage.name for stage in pipeline.stages]
    position = len(stage_names)
    if command.after:
        if command.after not in stage_names:
            raise _InvalidCommandError(f"no stage {command.after!r}")
        position = stage_names.index(command.after) + 1
    stage = StageConfig(name=command.name, pool=command.pool)
    stages = (*pipeline.stages[:position], stage, *pipeline.stages[position:])
    return _replace_pipeline(config, command.pipeline, stages=stages)


def _remove_stage(config: FleetConfig, command: s.RemoveStage) -> FleetConfig:
    pipeline = _get_existing(config.pipelines, command.pipeline, "pipeline")
    stages = tuple(stage for stage in pipeline.stages if stage.name != command.name)
    if len(stages) == len(pipeline.stages):
        raise _InvalidCommandError(f"no stage {command.name!r}")
    if not stages:
        raise _InvalidCommandError("a pipeline needs at least one stage")
    return _replace_pipeline(config, command.pipeline, stages=stages)


def _load_model(config: FleetConfig, command: s.LoadModel) -> FleetConfig:
    existing = config.models.get(command.model)
    part = ModelConfig(pool=command.pool, version=command.version)
    if existing is not None:
        part = replace(existing, pool=command.pool, version=command.version)
    part = replace(part, copies=command.copies)
    return _with_part(config, "models", command.model, part)


def _pin_model(config: FleetConfig, command: s.PinModel) -> FleetConfig:
    model = _get_existing(config.models, command.model, "model")
    _get_existing(config.endpoints, command.endpoint, "endpoint")
    pinned = tuple(sorted({*model.pinned, command.endpoint}))
    return _with_part(config, "models", command.model, replace(model, pinned=pinned))


_HANDLERS: dict[type, Callable[[FleetConfig, object], FleetConfig]] = {
    s.Drain: _drain,
    s.SetPipelinePriority: lambda config, c: _replace_pipeline(
        config, c.pipeline, priority=c.priority
    ),
    s.SetWorkspacePriority: lambda config, c: _replace_workspace(
        config, c.workspace, priority_offset=c.offset
    ),
    s.SetShare: lambda config, c: _replace_workspace(
        config, c.workspace, share=c.share
    ),
    s.SetMinimum: lambda config, c: _replace_workspace(
        config, c.workspace, minimum=c.minimum
    ),
    s.SetObjective: lambda config, c: replace(config, objective=Objective(c.objective)),
    s.SetTuning: _set_tuning,
    s.AddWorkspace: _add_workspace,
    s.RemoveWorkspace: lambda config, c: _without_part(
        config, "workspaces", c.name, "workspace"
    ),
    s.AddEndpoint: _add_endpoint,
    s.RemoveEndpoint: lambda config, c: _without_part(
        config, "endpoints", c.name, "endpoint"
    ),
    s.AddStage: _add_stage,
    s.RemoveStage: _remove_stage,
    s.PausePipeline: lambda config, c: _replace_pipeline(
        config, c.pipeline, paused=c.paused
    ),
    s.LoadModel: _load_model,
    s.UnloadModel: lambda config, c: _without_part(config, "models", c.model, "model"),
    s.PinModel: _pin_model,
}


def plan_command(
    config: FleetConfig, command: s.Command
) -> Result[FleetConfig, CommandError]:
    """Return the configuration with a command applied.

    Errors: a name that does not exist or exists already, or a value out of range.
    """
    try:
        changed = _HANDLERS[type(command)](config, command)
    except _InvalidCommandError as error:
        return Failure(CommandError(str(error)))
    return _check_ranges(config, changed)


def _check_ranges(
    before: FleetConfig, after: FleetConfig
) -> Result[FleetConfig, CommandError]:
    """Validate the changed parts against the ranges of the configuration types."""
    for table in ("endpoints", "pipelines", "workspaces", "models"):
        previous_parts = getattr(before, table)
        for name, part in getattr(after, table).items():
            if previous_parts.get(name) is part:
                continue
            try:
                msgspec.convert(msgspec.to_builtins(part), type(part))
            except msgspec.ValidationError as error:
                return Failure(CommandError(f"{table}.{name}: {error}"))
    return Success(after)
