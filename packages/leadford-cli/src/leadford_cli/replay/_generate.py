"""Make the shipped traces from a seed.

The same seed gives the same trace.
"""

from collections.abc import Callable
from random import Random

import msgspec

from leadford_cli.replay._trace import Trace, TraceRequest

trace_generators: dict[str, Callable[..., Trace]] = {}


class RequestKind(msgspec.Struct, frozen=True):
    """Describe the requests of one kind in a trace.

    Units: per_s is arrivals a second; burst multiplies it between two moments.
    """

    pipeline: str
    per_s: float
    deadline_ms: float
    stream: bool = False
    repeatable: bool = True
    keyed: bool = False
    system_words: int = 0
    burst: float = 1.0
    burst_from: float = 0.0
    burst_to: float = 0.0
    workspaces: tuple[str, ...] = ()


def _arrivals(kind: RequestKind, duration_s: float, random: Random) -> list[float]:
    """Return Poisson arrival times, denser during the burst."""
    times: list[float] = []
    peak = kind.per_s * max(1.0, kind.burst)
    at_s = random.expovariate(peak)
    while at_s < duration_s:
        in_burst = kind.burst_from <= at_s < kind.burst_to
        rate = kind.per_s * (kind.burst if in_burst else 1.0)
        if random.random() < rate / peak:
            times.append(at_s)
        at_s += random.expovariate(peak)
    return times


def make_trace(
    *,
    name: str,
    deployment: str,
    kinds: list[RequestKind],
    workspaces: list[str],
    weights: list[float],
    seed: int,
    duration_s: float,
) -> Trace:
    """Return a trace of requests of several kinds."""
    random = Random(seed)
    requests: list[TraceRequest] = []
    for kind in kinds:
        for index, at_s in enumerate(_arrivals(kind, duration_s, random)):
            if kind.workspaces:
                workspace = random.choice(kind.workspaces)
            else:
                workspace = random.choices(workspaces, weights)[0]
            request_id = f"{kind.pipeline}-{seed}-{index}"
            requests.append(
                TraceRequest(
                    at_s=round(at_s, 4),
                    id=request_id,
                    pipeline=kind.pipeline,
                    workspace=workspace,
                    prompt=f"{request_id} asks about game {random.randrange(10**6)}",
                    deadline_ms=kind.deadline_ms,
                    repeatable=kind.repeatable,
                    key=f"{name}-{request_id}" if kind.keyed else "",
                    stream=kind.stream,
                    system_id=random.randrange(12) if kind.system_words else 0,
                    system_words=kind.system_words,
                )
            )
    requests.sort(key=lambda request: request.at_s)
    return Trace(name=name, deployment=deployment, seed=seed, requests=requests)


def damier_club_night(
    seed: int = 1, duration_s: float = 20.0, scale: float = 1.0
) -> Trace:
    """Return a club night: live hints, moves, and a burst of reviews."""
    third = duration_s / 3.0
    kinds = [
        RequestKind("hint", 20 * scale, 1000.0, stream=True, system_words=60),
        RequestKind(
            "review",
            8 * scale,
            2500.0,
            system_words=120,
            burst=3.0,
            burst_from=third,
            burst_to=2 * third,
        ),
        RequestKind("move", 15 * scale, 500.0, repeatable=False, keyed=True),
        RequestKind("lobby", 10 * scale, 500.0),
    ]
    workspaces = ["club-a", "club-b", "club-c", "coaches", "juniors"]
    return make_trace(
        name="damier_club_night",
        deployment="damier",
        kinds=kinds,
        workspaces=workspaces,
        weights=[4, 3, 1, 1, 1],
        seed=seed,
        duration_s=duration_s,
    )


def admissions_offer_deadline(
    seed: int = 1, duration_s: float = 20.0, scale: float = 1.0
) -> Trace:
    """Return the hours before an offer deadline: dossiers, questions, decisions."""
    third = duration_s / 3.0
    kinds = [
        RequestKind(
            "dossier",
            8 * scale,
            6000.0,
            system_words=200,
            burst=2.0,
            burst_from=third,
            burst_to=2 * third,
        ),
        RequestKind("question", 12 * scale, 2000.0, stream=True, system_words=60),
        RequestKind(
            "decision", 6 * scale, 1500.0, repeatable=False, keyed=True, system_words=40
        ),
        RequestKind("rank", 5 * scale, 500.0, repeatable=False, keyed=True),
    ]
    workspaces = ["school-a", "school-b", "school-c", "families", "registry"]
    return make_trace(
        name="admissions_offer_deadline",
        deployment="association",
        kinds=kinds,
        workspaces=workspaces,
        weights=[3, 3, 1, 2, 1],
        seed=seed,
        duration_s=duration_s,
    )


trace_generators["damier_club_night"] = damier_club_night
trace_generators["admissions_offer_deadline"] = admissions_offer_deadline
