"""Traces are read whole, violations are found, reports are held to outcomes."""

import msgspec
import pytest
from returns.result import Failure

from leadford_cli.main import check_config, replay
from leadford_cli.operators import format_answer
from leadford_cli.plots import draw_report
from leadford_cli.replay import (
    OutcomeBounds,
    Trace,
    TraceFault,
    check_outcomes,
    find_violations,
    read_trace,
    trace_generators,
    write_trace,
)
from leadford_cli.replay._caller import CallRecord
from leadford_cli.replay._report import make_report
from leadford_standins.endpoints import ExecutionRecord, expected_result
from leadford_standins.fleet import damier

DOCUMENT = damier().document
TRACE = trace_generators["damier_club_night"](seed=3, duration_s=2.0)
MOVE = next(r for r in TRACE.requests if r.pipeline == "move")


def record(request_id="k1", **terms):
    right = expected_result("confirm", MOVE.body().decode())
    shape = {
        "request": MOVE,
        "started_s": 0.0,
        "ended_s": 0.1,
        "outcome": "complete",
        "request_ids": [request_id],
        "result": right,
    }
    return CallRecord(**{**shape, **terms})


def execution(request_id="k1", attempt=1):
    return ExecutionRecord(request_id, "confirm", attempt, 0.0, True, 5.0)


def violations(records, executions):
    found = find_violations(records, executions, DOCUMENT)
    return {k: len(v) for k, v in msgspec.to_builtins(found).items() if v}


@pytest.mark.parametrize(
    ("records", "executions", "expected"),
    [
        ([record()], [execution()], {}),
        ([record()], [], {"lost": 1}),
        ([record()], [execution(), execution(attempt=2)], {"doubled": 1}),
        ([record(result="other")], [execution()], {"crossed": 1}),
        ([record(outcome="not-run")], [execution()], {"false_not_run": 1}),
        ([record(outcome="not-run")], [], {}),
        ([record(outcome="unknown")], [execution()], {}),
        ([record(outcome="fine")], [execution()], {"mislabelled": 1}),
    ],
)
def test_violations_are_found(records, executions, expected):
    assert violations(records, executions) == expected


def test_a_trace_survives_its_file(tmp_path):
    TRACE.faults = [TraceFault(at_s=1.0, target="engines-1", action="kill")]
    write_trace(TRACE, tmp_path / "trace.jsonl")
    again = read_trace(tmp_path / "trace.jsonl").unwrap()
    assert again == TRACE


@pytest.mark.parametrize(
    ("lines", "text"),
    [
        ("", "empty file"),
        ('{"nothing": 1}', "header"),
        ('{"name":"t","deployment":"damier"}\n{"at_s":', ":2:"),
        (
            '{"name":"t","deployment":"d"}\n\n{"at_s":1,"target":"x","action":"hit"}',
            ":3",
        ),
        ('{"name":"t","deployment":"d"}\n' + "x" * 70_000, "longer than"),
    ],
)
def test_a_malformed_trace_names_its_lines(tmp_path, lines, text):
    path = tmp_path / "trace.jsonl"
    path.write_text(lines)
    result = read_trace(path)
    assert isinstance(result, Failure)
    assert text in " ".join(result.failure())
    assert replay(path) == 2


def test_reports_are_held_to_their_outcomes_and_drawn(tmp_path):
    late = record("k2", ended_s=9.0)
    report = make_report(
        trace=Trace(
            name="t",
            deployment="damier",
            seed=1,
            requests=[],
            faults=[TraceFault(at_s=0.5, target="engines-1", action="kill")],
        ),
        records=[record(), late],
        executions=[execution(), execution("k2")],
        document=DOCUMENT,
        store_calls={},
        retries=0,
        prefill_tokens=0,
        cached_tokens=0,
    )
    assert report.attainment.share == 0.5
    assert report.attainment.late == 1
    assert check_outcomes(report, OutcomeBounds(attainment_min=0.5)) == []
    missed = check_outcomes(report, OutcomeBounds(attainment_min_by_kind={"move": 0.9}))
    assert len(missed) == 1
    picture = tmp_path / "report.png"
    draw_report(msgspec.to_builtins(report), picture)
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_the_generators_are_seeded():
    for generate in trace_generators.values():
        assert generate(seed=5, duration_s=1.0) == generate(seed=5, duration_s=1.0)
        assert generate(seed=5, duration_s=1.0) != generate(seed=6, duration_s=1.0)


def test_a_faulty_file_is_listed_and_fails(tmp_path, capsys):
    path = tmp_path / "fleet.toml"
    path.write_text('objective = "fun"\n[pools.x]\nkind = "oven"\n')
    assert check_config(path) == 2
    shown = capsys.readouterr().err
    assert "objective" in shown
    assert "pools.x.kind" in shown
    path.write_text("objective =")
    assert check_config(path) == 2


def test_answers_are_printed_as_tables(snapshot):
    answer = {
        "columns": ["endpoint", "queued", "at_s"],
        "rows": [["engines-1", 3, 0.5], ["e2", 12, 86400.0]],
        "coverage": "2 of 3 entries answered",
        "version": 7,
    }
    assert format_answer(answer, as_json=False) == snapshot
