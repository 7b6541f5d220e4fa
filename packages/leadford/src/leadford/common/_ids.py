"""Define a type for each id, so that a type checker tells the ids apart."""

from typing import NewType

AttemptNumber = NewType("AttemptNumber", int)
CommandId = NewType("CommandId", str)
ConfigVersion = NewType("ConfigVersion", int)
EndpointId = NewType("EndpointId", str)
EntryId = NewType("EntryId", str)
HallId = NewType("HallId", str)
HostId = NewType("HostId", str)
PipelineId = NewType("PipelineId", str)
PoolId = NewType("PoolId", str)
RequestId = NewType("RequestId", str)
StageId = NewType("StageId", str)
WorkspaceId = NewType("WorkspaceId", str)
