"""Encode and decode what leadford's own objects in the store hold.

The formats are the same on every platform. Fields may be added later, with a default.
"""

from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Result, safe

from leadford.common import RequestId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.history import StoreEpoch
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    MAX_ORIGIN_AGE_S,
    RecordedSoftware,
    RecordedStreams,
    StreamOrigin,
)

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


class StreamsSpec(msgspec.Struct, frozen=True):
    """Hold the ids of requests that began streams, by service and software version."""

    wait_ms: Annotated[float, Meta(ge=0.0, le=MAX_ORIGIN_AGE_S * 1_000.0)]
    streams: dict[str, dict[str, list[str]]]


def streams_spec(recorded: RecordedStreams) -> dict:
    """Return what the object of an entry holds."""
    streams: dict[str, dict[str, list[str]]] = {}
    for request_id, origin in recorded.origins_by_id.items():
        ids_by_version = streams.setdefault(origin.service_id, {})
        ids_by_version.setdefault(origin.software, []).append(request_id)
    return {"wait_ms": recorded.wait_s * 1_000.0, "streams": streams}


def read_streams(spec: object) -> Result[RecordedStreams, str]:
    """Return the streams that an object holds, or what is wrong with it."""
    return _convert(spec, StreamsSpec).map(
        lambda read: RecordedStreams(
            {
                RequestId(request_id): StreamOrigin(
                    ServiceId(service_id), SoftwareVersion(software)
                )
                for service_id, ids_by_version in read.streams.items()
                for software, request_ids in ids_by_version.items()
                for request_id in request_ids
            },
            read.wait_ms / 1_000.0,
        )
    )


def _convert(spec: object, kind: type) -> Result:
    convert = safe(exceptions=(msgspec.MsgspecError,))(msgspec.convert)
    return convert(spec, kind).alt(str)
