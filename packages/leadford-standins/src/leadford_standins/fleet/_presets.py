"""Describe the two users' deployments, scaled to one machine.

Configurations of leadford's own interface, for the demonstration, its tests and the
measurement pages that name them. Times and sizes are those of the stand-ins.
"""

from collections.abc import Callable

from leadford_standins.fleet._layout import (
    EndpointSpec,
    EntrySpec,
    FleetSpec,
    api_key,
    hash_text,
)

deployments: dict[str, Callable[..., FleetSpec]] = {}


def _pool(kind: str, concurrency: int, cost_per_s: float) -> dict[str, object]:
    return {"kind": kind, "concurrency": concurrency, "cost_per_s": cost_per_s}


def _workspaces(names: list[str]) -> dict[str, object]:
    return {
        name: {
            "share": 1.0,
            "minimum": round(1.0 / len(names), 3) - 0.001,
            "key_hashes": [hash_text(api_key(name))],
        }
        for name in names
    }


class _Builder:
    """Spread endpoints of several pools over halls."""

    def __init__(self, halls: list[str]) -> None:
        self.halls = halls
        self.endpoints: list[EndpointSpec] = []

    def add(self, pool: str, kind: str, count: int, **terms: object) -> None:
        """Add endpoints to a pool, one hall after the other."""
        for index in range(count):
            self.endpoints.append(
                EndpointSpec(
                    name=f"{pool}-{index + 1}",
                    pool=pool,
                    kind=kind,
                    hall=self.halls[index % len(self.halls)],
                    **terms,
                )
            )


def _entries(count: int, halls: list[str]) -> list[EntrySpec]:
    return [
        EntrySpec(name=f"entry-{index + 1}", hall=halls[index % len(halls)])
        for index in range(count)
    ]


def _stage(name: str, pool: str, expected_ms: float, **more: object) -> dict:
    return {"name": name, "pool": pool, "expected_ms": expected_ms, **more}


def damier(*, entries: int = 3, engines: int = 6, others: int = 4) -> FleetSpec:
    """Return Damier Fleet's deployment: game rooms, attainment first."""
    halls = ["dakar-1", "dakar-2", "dakar-3", "dakar-4"]
    builder = _Builder(halls)
    builder.add("engines", "engine", engines, concurrency=8, step_ms=20.0)
    builder.add("encoders", "encoder", 2, concurrency=4, service_ms=6.0)
    builder.add("retrievers", "retriever", 2, concurrency=4, service_ms=8.0)
    builder.add("rerankers", "reranker", 2, concurrency=4, service_ms=10.0)
    builder.add("live-play", "service", others, concurrency=8, service_ms=5.0)
    builder.add("lobby", "service", min(2, others), concurrency=8, service_ms=6.0)
    encode = _stage("encode", "encoders", 8)
    retrieve = _stage("retrieve", "retrievers", 10)
    rerank = _stage("rerank", "rerankers", 12)
    document = {
        "objective": "attainment",
        "pools": {
            "engines": _pool("engine", 8, 10.0),
            "encoders": _pool("encoder", 4, 2.0),
            "retrievers": _pool("retriever", 4, 1.0),
            "rerankers": _pool("reranker", 4, 2.0),
            "live-play": _pool("service", 8, 0.5),
            "lobby": _pool("service", 8, 0.5),
        },
        "pipelines": {
            "hint": {
                "priority": 1,
                "deadline_ms": 1000,
                "weight": 2.0,
                "stages": [
                    encode,
                    retrieve,
                    _stage("generate", "engines", 280, expected_tokens=12, hedge=True),
                ],
            },
            "review": {
                "priority": 5,
                "deadline_ms": 2500,
                "stages": [
                    encode,
                    retrieve,
                    rerank,
                    _stage("generate", "engines", 1150, expected_tokens=48),
                ],
            },
            "move": {
                "priority": 0,
                "deadline_ms": 500,
                "weight": 3.0,
                "stages": [
                    _stage("confirm", "live-play", 6, repeatable=False, effect=True)
                ],
            },
            "lobby": {
                "priority": 3,
                "deadline_ms": 500,
                "stages": [_stage("match", "lobby", 7)],
            },
        },
        "workspaces": _workspaces(["club-a", "club-b", "club-c", "coaches", "juniors"]),
    }
    return FleetSpec(
        name="damier",
        endpoints=builder.endpoints,
        entries=_entries(entries, halls),
        document=document,
    )


def association(*, entries: int = 3, engines: int = 6, others: int = 4) -> FleetSpec:
    """Return the Association's deployment: school admissions, cost first."""
    halls = ["bogota-1", "bogota-2", "bogota-3", "bogota-4"]
    builder = _Builder(halls)
    builder.add("engines", "engine", engines, concurrency=8, step_ms=20.0)
    builder.add("encoders", "encoder", 3, concurrency=4, service_ms=30.0)
    builder.add("retrievers", "retriever", 2, concurrency=4, service_ms=8.0)
    builder.add("rerankers", "reranker", 2, concurrency=4, service_ms=12.0)
    builder.add("notices", "service", min(2, others), concurrency=8, service_ms=8.0)
    builder.add("ledger", "service", min(2, others), concurrency=8, service_ms=6.0)
    encode = _stage("encode", "encoders", 36)
    retrieve = _stage("retrieve", "retrievers", 10)
    rerank = _stage("rerank", "rerankers", 14)
    document = {
        "objective": "cost",
        "pools": {
            "engines": _pool("engine", 8, 10.0),
            "encoders": _pool("encoder", 4, 3.0),
            "retrievers": _pool("retriever", 4, 1.0),
            "rerankers": _pool("reranker", 4, 2.0),
            "notices": _pool("service", 8, 0.5),
            "ledger": _pool("service", 8, 0.5),
        },
        "pipelines": {
            "dossier": {
                "priority": 6,
                "deadline_ms": 6000,
                "weight": 2.0,
                "can_wait": True,
                "stages": [
                    encode,
                    retrieve,
                    rerank,
                    _stage("generate", "engines", 1150, expected_tokens=48),
                ],
            },
            "question": {
                "priority": 4,
                "deadline_ms": 2000,
                "stages": [
                    encode,
                    retrieve,
                    rerank,
                    _stage("generate", "engines", 580, expected_tokens=24),
                ],
            },
            "decision": {
                "priority": 0,
                "deadline_ms": 1500,
                "weight": 3.0,
                "stages": [
                    _stage("draft", "engines", 190, expected_tokens=8),
                    _stage("notify", "notices", 10, repeatable=False, effect=True),
                ],
            },
            "rank": {
                "priority": 2,
                "deadline_ms": 500,
                "stages": [_stage("enter", "ledger", 7, repeatable=False, effect=True)],
            },
        },
        "workspaces": _workspaces(
            ["school-a", "school-b", "school-c", "families", "registry"]
        ),
    }
    return FleetSpec(
        name="association",
        endpoints=builder.endpoints,
        entries=_entries(entries, halls),
        document=document,
    )


deployments["damier"] = damier
deployments["association"] = association
