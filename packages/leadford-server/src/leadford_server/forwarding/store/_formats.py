"""Encode and decode what leadford's own objects in the store hold.

The formats are the same on every platform. Fields may be added later, with a default.
"""

from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Result, safe

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.history import StoreEpoch
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import RecordedSoftware

Count = Annotated[int, Meta(ge=0)]


class SoftwareSpec(msgspec.Struct, frozen=True):
    """Hold at which software versions streams of a service may have begun."""

    listed: list[str]
    gone: list[str]
    wait_ms: Annotated[float, Meta(ge=0.0)]
    routes: str
    config: Count
    epoch: Count
    is_complete: bool


def software_spec(record: RecordedSoftware) -> dict:
    """Return what the object of a record holds."""
    return msgspec.to_builtins(
        SoftwareSpec(
            listed=sorted(record.listed),
            gone=sorted(record.gone),
            wait_ms=record.wait_s * 1_000.0,
            routes=record.routes_key,
            config=record.config_version,
            epoch=record.epoch,
            is_complete=record.is_complete,
        )
    )


def read_software(service_id: ServiceId, spec: object) -> Result[RecordedSoftware, str]:
    """Return the record that an object holds, or what is wrong with it."""
    return _convert(spec, SoftwareSpec).map(
        lambda read: RecordedSoftware(
            service_id=service_id,
            listed=frozenset(map(SoftwareVersion, read.listed)),
            gone=frozenset(map(SoftwareVersion, read.gone)),
            wait_s=read.wait_ms / 1_000.0,
            routes_key=read.routes,
            config_version=read.config,
            epoch=StoreEpoch(read.epoch),
            is_complete=read.is_complete,
        )
    )


def _convert(spec: object, kind: type) -> Result:
    convert = safe(exceptions=(msgspec.MsgspecError,))(msgspec.convert)
    return convert(spec, kind).alt(str)
