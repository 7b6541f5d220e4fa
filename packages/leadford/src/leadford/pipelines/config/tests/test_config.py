"""Configurations are validated completely, never go back a version, can be undone."""

import msgspec
import pytest
from hypothesis import given, strategies as st
from returns.result import Failure

from leadford.pipelines.config import (
    ConfigTracker,
    WorkspaceConfig,
    apply_change,
    assemble,
    check_transition,
    config_from_document,
    decode_head,
    encode_head,
    make_head,
    split,
    undo_to,
)

DOCUMENT = {
    "pools": {"engines": {"kind": "engine"}, "services": {"kind": "service"}},
    "endpoints": {
        "e1": {
            "pool": "engines",
            "host": "h1",
            "hall": "hall-1",
            "agent": "127.0.0.1:1",
            "url": "http://127.0.0.1:2",
        }
    },
    "pipelines": {
        "p": {"stages": [{"name": "g", "pool": "engines", "expected_tokens": 4}]}
    },
    "workspaces": {f"w{number}": {} for number in range(300)},
}


def make_config():
    return config_from_document(DOCUMENT).unwrap()


def chunk_data_by_key(config):
    return {chunk.key: chunk.data for chunk in split(config).values()}


def change(head, config, command_id="c"):
    return apply_change(
        head, config, command_id=command_id, operator="ops", command="x", at_s=1.0
    ).unwrap()


def with_share(config, name, share):
    workspaces = {**config.workspaces, name: WorkspaceConfig(share=share)}
    return msgspec.structs.replace(config, workspaces=workspaces)


@pytest.mark.parametrize(
    ("part", "path"),
    [
        ({"pools": {"x": {"kind": "engine", "concurrency": 0}}}, "pools.x.concurrency"),
        ({"pools": {"x": {"kind": "oven"}}}, "pools.x.kind"),
        ({"pools": {"x": {"kind": "engine", "size": 1}}}, "pools.x.size"),
        ({"surprise": {}}, "surprise"),
        ({"objective": "fun"}, "objective"),
        ({"tuning": {"routing": "nearest"}}, "tuning.routing"),
        ({"tuning": {"queue": "lifo"}}, "tuning.queue"),
        ({"pipelines": {"p": {"stages": []}}}, "pipelines.p.stages"),
        (
            {"pipelines": {"p": {"stages": [{"name": "a", "pool": "no"}]}}},
            "pipelines.p.stages[0].pool",
        ),
        ({"workspaces": {"a": {"minimum": 0.6}, "b": {"minimum": 0.6}}}, "workspaces"),
    ],
)
def test_each_fault_is_named_by_its_path(part, path):
    faults = config_from_document(part).failure()
    assert path in [fault.path for fault in faults]


def test_every_fault_is_listed():
    document = {"pools": {"x": {"kind": "oven"}}, "objective": "fun", "surprise": 1}
    assert len(config_from_document(document).failure()) == 3


def test_a_configuration_survives_the_store():
    config = make_config()
    head = decode_head(encode_head(make_head(config))).unwrap()
    assert assemble(head, chunk_data_by_key(config)).unwrap() == config


def test_one_workspace_changes_one_chunk():
    config = make_config()
    config_change = change(make_head(config), with_share(config, "w7", 5.0))
    assert len(config_change.new_chunks) == 1
    assert [delta.name for delta in config_change.head.audit[0].deltas] == [
        config_change.new_chunks[0].name
    ]


def test_the_record_of_a_change_rides_in_its_head():
    config = make_config()
    record = change(make_head(config), with_share(config, "w7", 5.0)).head.audit[-1]
    assert (record.version, record.from_version, record.operator) == (2, 1, "ops")


def test_undo_restores_an_earlier_version():
    config = make_config()
    first = make_head(config)
    second = change(first, with_share(config, "w7", 5.0)).head
    third = change(second, with_share(config, "new", 5.0)).head
    undone = undo_to(third, 1, command_id="u", operator="ops", at_s=2.0).unwrap()
    assert undone.head.version == 4
    assert undone.head.keys_by_chunk == first.keys_by_chunk
    refused = undo_to(third, 3, command_id="u", operator="ops", at_s=2.0)
    assert isinstance(refused, Failure)


def test_chunks_are_dropped_only_past_the_audit_records():
    config = make_config()
    head = make_head(config)
    dropped = set()
    for number in range(260):
        config_change = change(head, with_share(config, "w7", 1.0 + number % 250))
        dropped.update(config_change.dropped_keys)
        head = config_change.head
        assert not dropped & set(head.keys_by_chunk.values())
    assert len(head.audit) == 200
    assert dropped


@given(st.lists(st.integers(1, 6), max_size=30))
def test_a_tracker_never_goes_back(versions):
    config = make_config()
    head = make_head(config)
    tracker = ConfigTracker()
    seen = []
    for version in versions:
        tracker.offer(
            msgspec.structs.replace(head, version=version), chunk_data_by_key(config)
        )
        seen.append(tracker.version)
    assert seen == sorted(seen)
    assert tracker.version == max(versions, default=0)


@pytest.mark.parametrize("fault", ["missing", "corrupt", "unreadable"])
def test_a_version_that_cannot_be_read_leaves_the_last_in_force(fault):
    config = make_config()
    tracker = ConfigTracker()
    head = make_head(config)
    tracker.offer(head, chunk_data_by_key(config))
    config_change = change(head, with_share(config, "w7", 5.0))
    chunk = config_change.new_chunks[0]
    data = {"missing": {}, "corrupt": {chunk.key: b"junk"}}.get(fault)
    if data is None:
        keys = {**config_change.head.keys_by_chunk, chunk.name: "2-" + "0" * 32}
        changed_head = msgspec.structs.replace(config_change.head, keys_by_chunk=keys)
        data = {"2-" + "0" * 32: chunk.data}
    else:
        changed_head = config_change.head
    assert isinstance(tracker.offer(changed_head, data), Failure)
    assert tracker.version == 1
    assert tracker.unread_version_ == 2
    assert tracker.config_ == config


def test_where_claims_are_found_does_not_change_under_way():
    config = make_config()
    tuning = msgspec.structs.replace(config.tuning, claim_shards=4, retry_ratio=0.2)
    changed = msgspec.structs.replace(config, tuning=tuning)
    assert [f.path for f in check_transition(config, changed)] == [
        "tuning.claim_shards"
    ]
    assert check_transition(config, config) == []
