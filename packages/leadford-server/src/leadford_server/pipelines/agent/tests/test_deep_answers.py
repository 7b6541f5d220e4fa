"""Answers of endpoints that are nested deeply fail their attempt, and nothing else."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford.protocol import DoneStatus
from leadford_server.pipelines.agent._models import ModelLoader
from leadford_server.pipelines.agent.adapters import EngineAdapter, JsonAdapter
from leadford_server.pipelines.agent.tests.attempt_submit import make_submit
from leadford_server.pipelines.entry._body import read_body

TIMEOUT_S = 5.0
DEEP = b"[" * 5_000 + b"]" * 5_000
ADAPTERS = "leadford_server.pipelines.agent.adapters"


def sink(texts, model):
    pass


# Such an answer raised in the agent.
def test_a_deeply_nested_answer_ends_the_agent_and_not_its_attempt(monkeypatch):
    async def fetch(http, request):
        return SimpleNamespace(code=200, body=DEEP, error=None)

    monkeypatch.setattr(f"{ADAPTERS}._json.fetch", fetch)
    adapter = JsonAdapter(url="http://service", path="/run", http=None)
    outcome = asyncio.run(adapter.run(make_submit(), TIMEOUT_S, sink))
    assert outcome.status is DoneStatus.FAILED
    assert "malformed answer" in outcome.error


def test_a_deeply_nested_event_ends_the_agent_and_not_its_attempt(monkeypatch):
    async def fetch(http, request):
        request.streaming_callback(b"data: " + DEEP + b"\n\n")
        return SimpleNamespace(code=200, error=None)

    monkeypatch.setattr(f"{ADAPTERS}._engine.fetch", fetch)
    adapter = EngineAdapter(url="http://engine", http=None)
    outcome = asyncio.run(adapter.run(make_submit(), TIMEOUT_S, sink))
    assert outcome.status is DoneStatus.FAILED
    assert "malformed event" in outcome.error


# One such answer ended the loading of models for good.
@pytest.mark.parametrize("body", [b"", b"{", b'{"models": [1]}', DEEP])
def test_an_odd_list_of_models_ends_the_loading_of_models(monkeypatch, body):
    async def fetch(http, request):
        return SimpleNamespace(code=200, body=body, error=None)

    async def no_sleep(seconds):
        pass

    models = "leadford_server.pipelines.agent._models"
    monkeypatch.setattr(f"{models}.fetch", fetch)
    monkeypatch.setattr(f"{models}.asyncio.sleep", no_sleep)
    lines = []
    loader = ModelLoader(
        url="http://engine",
        http=None,
        sequence=None,
        log=SimpleNamespace(report=lambda event, **fields: lines.append(fields)),
        on_change=lambda: None,
    )
    asyncio.run(loader._read_held_copies())
    assert loader.held_copies_ == frozenset()
    assert [line["record"] for line in lines] == ["http://engine"]


def test_a_deeply_nested_body_of_a_caller_is_not_json():
    assert "RecursionError" in read_body(DEEP).failure()
