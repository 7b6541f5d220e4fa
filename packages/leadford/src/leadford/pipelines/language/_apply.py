"""Turn a command into the configuration that it asks for.

Pure: the entry checks and stores the result (`leadford.pipelines.config`). A command
that does not fit the configuration in force changes nothing.
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
    """Say why a command does not fit the configuration in force."""

    message: str

    def __str__(self) -> str:
        return self.message


class _Refused(Exception):
    """Carry the reason of a refusal out of a handler."""


def _get(table: dict, name: str, what: str) -> object:
    found = table.get(name)
    if found is None:
        raise _Refused(f"no {what} {name!r}")
    return found


def _with(config: FleetConfig, table: str, name: str, part: object) -> FleetConfig:
    return replace(config, **{table: {**getattr(config, table), name: part}})


def _without(config: FleetConfig, table: str, name: str, what: str) -> FleetConfig:
    parts = dict(getattr(config, table))
    _get(parts, name, what)
    del parts[name]
    return replace(config, **{table: parts})


def _drain(config: FleetConfig, command: s.Drain) -> FleetConfig:
    endpoints = dict(config.endpoints)
    found = False
    for name, endpoint in config.endpoints.items():
        names = {
            s.Scope.ENDPOINT: name,
            s.Scope.HOST: endpoint.host,
            s.Scope.HALL: endpoint.hall,
        }
        if names[command.scope] != command.name:
            continue
        found = True
        endpoints[name] = replace(endpoint, draining=command.draining)
    if not found:
        raise _Refused(f"no endpoint at {command.scope.value} {command.name!r}")
    return replace(config, endpoints=endpoints)


def _pipeline(config: FleetConfig, name: str, **changes: object) -> FleetConfig:
    pipeline = _get(config.pipelines, name, "pipeline")
    return _with(config, "pipelines", name, replace(pipeline, **changes))


def _workspace(config: FleetConfig, name: str, **changes: object) -> FleetConfig:
    workspace = _get(config.workspaces, name, "workspace")
    return _with(config, "workspaces", name, replace(workspace, **changes))


def _set_tuning(config: FleetConfig, command: s.SetTuning) -> FleetConfig:
    fields = {field.name: field for field in msgspec.structs.fields(TuningConfig)}
    field = _get(fields, command.name, "tuning")
    value: object = command.value
    if value in ("true", "false"):
        value = value == "true"
    elif isinstance(value, float) and value.is_integer():
        value = int(value)
    try:
        value = msgspec.convert(value, field.type)
    except msgspec.ValidationError as error:
        raise _Refused(f"{command.name}: {error}") from error
    return replace(config, tuning=replace(config.tuning, **{command.name: value}))


def _add_workspace(config: FleetConfig, command: s.AddWorkspace) -> FleetConfig:
    if command.name in config.workspaces:
        raise _Refused(f"workspace {command.name!r} is there already")
    hashes = (command.key_hash,) if command.key_hash else ()
    part = WorkspaceConfig(
        share=command.share, minimum=command.minimum, key_hashes=hashes
    )
    return _with(config, "workspaces", command.name, part)


def _add_endpoint(config: FleetConfig, command: s.AddEndpoint) -> FleetConfig:
    if command.name in config.endpoints:
        raise _Refused(f"endpoint {command.name!r} is there already")
    part = EndpointConfig(
        pool=command.pool,
        host=command.host,
        hall=command.hall,
        agent=command.agent,
        url=command.url,
    )
    return _with(config, "endpoints", command.name, part)


def _add_stage(config: FleetConfig, command: s.AddStage) -> FleetConfig:
    pipeline = _get(config.pipelines, command.pipeline, "pipeline")
    names = [stage.name for stage in pipeline.stages]
    position = len(names)
    if command.after:
        if command.after not in names:
            raise _Refused(f"no stage {command.after!r}")
        position = names.index(command.after) + 1
    stage = StageConfig(name=command.name, pool=command.pool)
    stages = (*pipeline.stages[:position], stage, *pipeline.stages[position:])
    return _pipeline(config, command.pipeline, stages=stages)


def _remove_stage(config: FleetConfig, command: s.RemoveStage) -> FleetConfig:
    pipeline = _get(config.pipelines, command.pipeline, "pipeline")
    stages = tuple(stage for stage in pipeline.stages if stage.name != command.name)
    if len(stages) == len(pipeline.stages):
        raise _Refused(f"no stage {command.name!r}")
    if not stages:
        raise _Refused("a pipeline needs at least one stage")
    return _pipeline(config, command.pipeline, stages=stages)


def _load_model(config: FleetConfig, command: s.LoadModel) -> FleetConfig:
    known = config.models.get(command.model)
    part = ModelConfig(pool=command.pool, version=command.version)
    if known is not None:
        part = replace(known, pool=command.pool, version=command.version)
    part = replace(part, copies=command.copies)
    return _with(config, "models", command.model, part)


def _pin_model(config: FleetConfig, command: s.PinModel) -> FleetConfig:
    model = _get(config.models, command.model, "model")
    _get(config.endpoints, command.endpoint, "endpoint")
    pinned = tuple(sorted({*model.pinned, command.endpoint}))
    return _with(config, "models", command.model, replace(model, pinned=pinned))


_HANDLERS: dict[type, Callable[[FleetConfig, object], FleetConfig]] = {
    s.Drain: _drain,
    s.SetPipelinePriority: lambda config, c: _pipeline(
        config, c.pipeline, priority=c.priority
    ),
    s.SetWorkspacePriority: lambda config, c: _workspace(
        config, c.workspace, priority_offset=c.offset
    ),
    s.SetShare: lambda config, c: _workspace(config, c.workspace, share=c.share),
    s.SetMinimum: lambda config, c: _workspace(config, c.workspace, minimum=c.minimum),
    s.SetObjective: lambda config, c: replace(config, objective=Objective(c.objective)),
    s.SetTuning: _set_tuning,
    s.AddWorkspace: _add_workspace,
    s.RemoveWorkspace: lambda config, c: _without(
        config, "workspaces", c.name, "workspace"
    ),
    s.AddEndpoint: _add_endpoint,
    s.RemoveEndpoint: lambda config, c: _without(
        config, "endpoints", c.name, "endpoint"
    ),
    s.AddStage: _add_stage,
    s.RemoveStage: _remove_stage,
    s.PausePipeline: lambda config, c: _pipeline(config, c.pipeline, paused=c.paused),
    s.LoadModel: _load_model,
    s.UnloadModel: lambda config, c: _without(config, "models", c.model, "model"),
    s.PinModel: _pin_model,
}


def plan_command(
    config: FleetConfig, command: s.Command
) -> Result[FleetConfig, CommandError]:
    """Return the configuration that a command asks for.

    Errors: a name that is not there, or a value out of its range.
    """
    try:
        changed = _HANDLERS[type(command)](config, command)
    except _Refused as refusal:
        return Failure(CommandError(str(refusal)))
    return _check_ranges(config, changed)


def _check_ranges(
    before: FleetConfig, after: FleetConfig
) -> Result[FleetConfig, CommandError]:
    """Check the parts that changed against the ranges of the model."""
    for table in ("endpoints", "pipelines", "workspaces", "models"):
        known = getattr(before, table)
        for name, part in getattr(after, table).items():
            if known.get(name) is part:
                continue
            try:
                msgspec.convert(msgspec.to_builtins(part), type(part))
            except msgspec.ValidationError as error:
                return Failure(CommandError(f"{table}.{name}: {error}"))
    return Success(after)
