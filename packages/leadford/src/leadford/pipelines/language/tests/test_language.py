"""Statements are parsed and applied; any other text returns the column at fault."""

import msgspec
import pytest
from hypothesis import given, strategies as st
from returns.result import Failure

from leadford.pipelines.config import config_from_document
from leadford.pipelines.language import (
    AddWorkspace,
    Condition,
    Drain,
    Explain,
    Show,
    Subject,
    Table,
    filter_table,
    parse,
    plan_command,
)
from leadford.pipelines.language._statements import Comparison, Scope

CONFIG = config_from_document(
    {
        "pools": {"services": {"kind": "service"}},
        "endpoints": {
            f"e{n}": {
                "pool": "services",
                "host": f"h{n}",
                "hall": f"hall-{n % 2}",
                "agent": "127.0.0.1:1",
                "url": "http://127.0.0.1:2",
            }
            for n in range(4)
        },
        "pipelines": {"p": {"stages": [{"name": "a", "pool": "services"}]}},
        "workspaces": {"w": {}},
        "models": {"m": {"pool": "services", "version": "1"}},
    }
).unwrap()


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        ("show endpoints", Show(Subject.ENDPOINTS)),
        (
            "show requests where workspace = lycee-7 and elapsed_ms >= 2.5 limit 3;",
            Show(
                Subject.REQUESTS,
                (
                    Condition("workspace", Comparison.EQUAL, "lycee-7"),
                    Condition("elapsed_ms", Comparison.AT_LEAST, 2.5),
                ),
                limit=3,
            ),
        ),
        ("show cost by workspace", Show(Subject.COST, by="workspace")),
        ("show cost", Show(Subject.COST)),
        ("explain request r0abc", Explain("r0abc")),
        ("drain hall dakar-1", Drain(Scope.HALL, "dakar-1", True)),
        ("restore endpoint e1", Drain(Scope.ENDPOINT, "e1", False)),
        (
            "add workspace new share 2 minimum 0.1",
            AddWorkspace("new", 2.0, 0.1),
        ),
    ],
)
def test_statements(text, statement):
    assert parse(text).unwrap() == statement


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("show nothing", 6, "subject"),
        ("drain", 6, "scope"),
        ("set share of workspace w to x", 29, "integer"),
        ("undo", 5, "integer"),
        ("", 1, "'show'"),
    ],
)
def test_errors_name_the_column_and_what_fits(text, column, expected):
    fault = parse(text).failure()
    assert fault.column == column
    assert expected in fault.expected


@given(st.text(max_size=80))
def test_any_text_is_a_statement_or_a_fault(text):
    result = parse(text)
    if isinstance(result, Failure):
        assert 1 <= result.failure().column <= len(text) + 1


COMMANDS = {
    "drain endpoint e1": lambda c: c.endpoints["e1"].draining,
    "drain host h2": lambda c: c.endpoints["e2"].draining,
    "drain hall hall-0": lambda c: (
        c.endpoints["e0"].draining and not c.endpoints["e1"].draining
    ),
    "set priority of pipeline p to 7": lambda c: c.pipelines["p"].priority == 7,
    "set priority of workspace w to -2": lambda c: (
        c.workspaces["w"].priority_offset == -2
    ),
    "set share of workspace w to 2.5": lambda c: c.workspaces["w"].share == 2.5,
    "set minimum of workspace w to 0.2": lambda c: c.workspaces["w"].minimum == 0.2,
    "set objective to cost": lambda c: c.objective.value == "cost",
    "set tuning subset_size to 10": lambda c: c.tuning.subset_size == 10,
    "set tuning admission to false": lambda c: c.tuning.admission is False,
    "add workspace new share 2": lambda c: c.workspaces["new"].share == 2.0,
    "remove workspace w": lambda c: "w" not in c.workspaces,
    "add endpoint e9 pool services host h9 hall hall-1 agent 127.0.0.1:1 "
    "url http://127.0.0.1:2": lambda c: c.endpoints["e9"].hall == "hall-1",
    "remove endpoint e3": lambda c: "e3" not in c.endpoints,
    "add stage b pool services to pipeline p after a": lambda c: (
        c.pipelines["p"].stages[1].name == "b"
    ),
    "pause pipeline p": lambda c: c.pipelines["p"].paused,
    "load model m version 2 in pool services copies 3": lambda c: (
        c.models["m"].version == "2" and c.models["m"].copies == 3
    ),
    "unload model m": lambda c: "m" not in c.models,
    "pin model m to endpoint e1": lambda c: c.models["m"].pinned == ("e1",),
}


@pytest.mark.parametrize("text", COMMANDS)
def test_commands_change_what_they_say(text):
    changed = plan_command(CONFIG, parse(text).unwrap()).unwrap()
    assert COMMANDS[text](changed)
    assert msgspec.to_builtins(changed) != msgspec.to_builtins(CONFIG)


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("drain endpoint nope", "no endpoint at endpoint 'nope'"),
        ("set share of workspace nope to 1", "no workspace 'nope'"),
        ("set share of workspace w to 5000", "workspaces.w"),
        ("set priority of pipeline p to 12", "pipelines.p"),
        ("set tuning subset_size to 1", "subset_size"),
        ("set tuning nope to 1", "no tuning 'nope'"),
        ("remove stage a from pipeline p", "at least one stage"),
        ("add workspace w", "there already"),
    ],
)
def test_commands_that_do_not_fit_say_why(text, error):
    assert error in str(plan_command(CONFIG, parse(text).unwrap()).failure())


def test_tables_are_filtered_by_any_column():
    table = Table(["name", "load"], [["a", 1], ["b", 5], ["c", 9]])
    kept = filter_table(table, parse("show pools where load > 2").unwrap().conditions)
    assert [row[0] for row in kept.unwrap().rows] == ["b", "c"]
    missing = filter_table(table, (Condition("x", Comparison.EQUAL, "y"),))
    assert "there are: name, load" in missing.failure()
