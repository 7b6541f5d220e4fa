"""Test that a configuration arrives complete in parts, even if it changes meanwhile."""

from random import Random

import msgspec
from returns.result import Failure, Success

from leadford.common import ConfigVersion
from leadford.forwarding.routes import (
    ConfigDownload,
    ConfigParts,
    ForwardConfig,
    Route,
    RouteId,
    RouteKind,
    ServiceId,
    TrafficLimits,
    WeightedService,
)
from leadford.forwarding.routes._parts import MAX_VERSIONS, PART_BYTES


def config(version, routes=2_000):
    """Return a configuration that needs several parts."""
    random = Random(version)
    return ForwardConfig(
        version=ConfigVersion(version),
        routes=tuple(
            Route(
                route_id=RouteId(f"r{random.getrandbits(160):x}"),
                host=f"h{random.getrandbits(160):x}.example",
                path_prefix=f"/{random.getrandbits(160):x}/",
                kind=RouteKind.SAFE,
                services=(WeightedService(ServiceId("s"), 1.0),),
                timeout_ms=4_000.0,
                aim_ms=1_600.0,
            )
            for _ in range(routes)
        ),
        services_by_id={},
        limits=TrafficLimits(),
    )


def download(parts, in_force, receiver, *, version=0, offset=0):
    """Fetch a complete configuration; return it with the sizes of its parts."""
    sizes = []
    while True:
        part = parts.part(in_force, version, offset)
        sizes.append(len(part.data))
        added = receiver.add(part).unwrap()
        if added is not None:
            return added, sizes
        version = part.version
        offset = part.offset + len(part.data)


def test_a_configuration_comes_whole_in_bounded_parts():
    sent = config(7)
    received, sizes = download(ConfigParts(), sent, ConfigDownload())
    assert received == sent
    assert len(sizes) > 2
    assert max(sizes) <= PART_BYTES


def test_a_version_that_is_on_its_way_is_sent_to_its_end():
    parts = ConfigParts()
    receiver = ConfigDownload()
    first_part = parts.part(config(7), 0, 0)
    assert receiver.add(first_part) == Success(None)
    # A newer version becomes active at the sender.
    received, _ = download(
        parts,
        config(8),
        receiver,
        version=first_part.version,
        offset=len(first_part.data),
    )
    assert received.version == 7


def test_a_version_that_is_no_longer_kept_is_begun_anew_with_the_newest():
    parts = ConfigParts()
    receiver = ConfigDownload()
    first_part = parts.part(config(7), 0, 0)
    assert receiver.add(first_part) == Success(None)
    for version in range(8, 8 + MAX_VERSIONS):
        newest = config(version)
        parts.part(newest, 0, 0)
    assert len(parts.data_by_version_) == MAX_VERSIONS
    received, _ = download(
        parts, newest, receiver, version=7, offset=len(first_part.data)
    )
    assert received == newest


def test_a_part_that_does_not_fit_is_not_used():
    parts = ConfigParts()
    receiver = ConfigDownload()
    first_part = parts.part(config(7), 0, 0)
    assert receiver.is_next_part(first_part)
    assert receiver.add(first_part) == Success(None)
    # The part was already received, or the one before it is missing.
    assert not receiver.is_next_part(first_part)
    assert not receiver.is_next_part(parts.part(config(7), 7, 2 * PART_BYTES))
    assert receiver.is_next_part(parts.part(config(7), 7, PART_BYTES))
    # No part of an older version fits, and of a newer one only the first part.
    older = msgspec.structs.replace(first_part, version=6)
    assert not receiver.is_next_part(older)
    newer = msgspec.structs.replace(first_part, version=8)
    assert receiver.is_next_part(newer)
    assert not receiver.is_next_part(msgspec.structs.replace(newer, offset=PART_BYTES))


def test_parts_of_one_version_may_come_from_several_peers():
    sent = config(7)
    one, other = ConfigParts(), ConfigParts()
    receiver = ConfigDownload()
    assert receiver.add(one.part(sent, 0, 0)) == Success(None)
    received, _ = download(other, sent, receiver, version=7, offset=receiver.offset)
    assert received == sent


def test_spoiled_data_is_no_configuration_and_is_not_kept():
    part = ConfigParts().part(config(7, routes=1), 0, 0)
    spoiled = msgspec.structs.replace(part, data=b"spoiled", total=7)
    receiver = ConfigDownload()
    assert isinstance(receiver.add(spoiled), Failure)
    assert receiver.offset == 0
    assert not receiver.is_next_part(msgspec.structs.replace(part, data=b""))
    assert receiver.add(part).unwrap() == config(7, routes=1)
