"""Find violations by comparing callers' records with the stand-ins' records.

The promises that are checked stand in README: lost, doubled, crossed, not-run, unknown.
"""

from collections import Counter

import msgspec

from leadford_cli.replay._caller import CallRecord
from leadford_standins.endpoints import (
    ExecutionRecord,
    expected_result,
    expected_tokens,
)


class Violations(msgspec.Struct):
    """Hold the ids of requests that broke a promise."""

    lost: list[str] = []
    doubled: list[str] = []
    crossed: list[str] = []
    false_not_run: list[str] = []
    mislabelled: list[str] = []

    @property
    def count(self) -> int:
        """Return how many there are."""
        lists = msgspec.structs.astuple(self)
        return sum(len(found) for found in lists)


def find_violations(
    records: list[CallRecord], executions: list[ExecutionRecord], document: dict
) -> Violations:
    """Return what was lost, doubled, crossed or falsely called not run."""
    found = Violations([], [], [], [], [])
    effect_stages = _effect_stages(document)
    runs: Counter[str] = Counter()
    for execution in executions:
        if execution.finished and execution.stage in effect_stages:
            runs[execution.request_id] += 1
    for request_id, count in runs.items():
        if count > 1:
            found.doubled.append(request_id)
    for record in records:
        _check_record(record, runs, document, found)
    return found


def _effect_stages(document: dict) -> set[str]:
    names: set[str] = set()
    for pipeline in document["pipelines"].values():
        for stage in pipeline["stages"]:
            if stage.get("effect"):
                names.add(stage["name"])
    return names


def _check_record(
    record: CallRecord, runs: Counter[str], document: dict, found: Violations
) -> None:
    request = record.request
    stages = document["pipelines"][request.pipeline]["stages"]
    has_effect = any(stage.get("effect") for stage in stages)
    executed = any(runs[request_id] for request_id in record.request_ids)
    if record.outcome not in ("complete", "not-run", "unknown", "unanswered"):
        found.mislabelled.append(request.id)
    if record.outcome == "not-run" and executed:
        found.false_not_run.append(request.id)
    if record.outcome != "complete":
        return
    if has_effect and not executed:
        found.lost.append(request.id)
    text, result = _expected(request.body().decode(), stages)
    if record.text != text or record.result != result:
        found.crossed.append(request.id)


def _expected(body: str, stages: list[dict]) -> tuple[str, str]:
    """Return the text and result that an untouched run gives."""
    document = msgspec.json.decode(body)
    previous: object = None
    texts: list[str] = []
    for stage in stages:
        texts = []
        if not stage.get("expected_tokens"):
            previous = expected_result(stage["name"], body)
            continue
        parts = [document.get("system", ""), document["prompt"]]
        if previous is not None:
            parts.append(msgspec.json.encode(previous).decode())
        prompt = "\n".join(part for part in parts if part)
        texts = expected_tokens("1", prompt, stage["expected_tokens"])
        previous = {"text": "".join(texts)}
    return "".join(texts), previous if isinstance(previous, str) else ""
