"""Streams of an engine whose events have another shape than published."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford.protocol import DoneStatus
from leadford_server.pipelines.agent.adapters import EngineAdapter
from leadford_server.pipelines.agent.tests.attempt_submit import make_submit

TIMEOUT_S = 5.0
ENDED = b'{"choices": [{"text": "a", "finish_reason": "stop"}], "usage": %s}'


def outcome_of(monkeypatch, event):
    """Return how a call ends whose stream has one event."""

    async def fetch(http, request):
        request.streaming_callback(b"data: " + event + b"\n\n")
        return SimpleNamespace(code=200, error=None)

    monkeypatch.setattr("leadford_server.pipelines.agent.adapters._engine.fetch", fetch)
    adapter = EngineAdapter(url="http://engine", http=None)
    call = adapter.run(make_submit(), TIMEOUT_S, lambda texts, model: None)
    return asyncio.run(call)


@pytest.mark.parametrize(
    "usage",
    [
        b'{"prompt_tokens": [1]}',
        b'{"accelerator_ms": "soon"}',
        b'{"prompt_tokens_details": [1]}',
        b"[1]",
    ],
)
def test_a_usage_that_is_malformed_fails_its_attempt(monkeypatch, usage):
    """A usage that is no record of numbers raises in the agent."""
    outcome = outcome_of(monkeypatch, ENDED % usage)
    assert outcome.status is DoneStatus.FAILED
    assert "usage" in outcome.error


@pytest.mark.parametrize("event", [b"[]", b'{"choices": ["a"]}', b'{"choices": [1]}'])
def test_an_event_that_is_no_record_fails_its_attempt(monkeypatch, event):
    """An event of another shape raises in the reader of the stream."""
    outcome = outcome_of(monkeypatch, event)
    assert outcome.status is DoneStatus.FAILED
    assert "malformed event" in outcome.error


def test_a_usage_with_null_for_a_number_fails_nothing(monkeypatch):
    """A number that an engine leaves out as null raises in the agent."""
    outcome = outcome_of(monkeypatch, ENDED % b'{"prompt_tokens": null}')
    assert outcome.status is DoneStatus.OK
    assert outcome.prefill_tokens == 0
