"""Measure time and memory of decisions and state against their size, with fits.

Prints, for each, the slope of a straight line through the sizes and its fit (R2).
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from random import Random

import msgspec

from leadford.common import rendezvous_order
from leadford.pipelines.claims import ClaimBatch, ClaimLog, SlotView
from leadford.pipelines.claims._log import ClaimSlot
from leadford.pipelines.config import (
    ConfigTracker,
    WorkspaceConfig,
    apply_change,
    config_from_document,
    encode_head,
    make_head,
    split,
)
from leadford.pipelines.membership import choose_subset
from leadford.pipelines.queues import QueuedAttempt, WorkspaceTerms, queue_policies
from leadford.pipelines.routing import (
    EndpointView,
    LoadReport,
    RoutingRequest,
    routing_policies,
)
from leadford.protocol import ClassLoad, Load, Submit, TokenPart, Tokens, decode, encode

ROUNDS = 7


def time_us(work: Callable[[], object], count: int) -> float:
    """Return the median time of one call, in microseconds."""
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(count):
            work()
        times.append((time.perf_counter() - started) / count * 1e6)
    return statistics.median(times)


def memory_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def fit(sizes: list[int], values: list[float]) -> str:
    """Return the slope, the constant and R2 of a straight line."""
    slope, constant = statistics.linear_regression(sizes, values)
    r2 = statistics.correlation(sizes, values) ** 2 if max(values) > min(values) else 1
    points = ", ".join(f"{s}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
    return f"slope {slope:.4g}, constant {constant:.4g}, R2 {r2:.3f} ({points})"


def make_views(count: int) -> list[EndpointView]:
    views = []
    draw = Random(1)
    for number in range(count):
        view = EndpointView(endpoint_id=f"engine-{number}", hall="h", concurrency=8)
        view.record_report(
            LoadReport(
                queued=draw.randrange(20),
                running=8,
                service_ms=300.0,
                token_ms=25.0,
                concurrency=8,
            )
        )
        view.prefixes_.record_cached(f"p{number}", 0.0)
        views.append(view)
    return views


def routing() -> None:
    sizes = [10, 40, 200, 750, 1500]
    request = RoutingRequest(expected_tokens=48, prefix="p3", prefill_tokens=200)
    for name in routing_policies:
        policy = routing_policies.get(name).from_config(random=Random(1))
        times = []
        for size in sizes:
            views = make_views(size)
            count = max(20, 20_000 // size)
            times.append(
                time_us(lambda v=views, p=policy: p.choose(request, v, 1.0), count)
            )
        print(f"routing {name}, us by candidates: {fit(sizes, times)}")
    print(
        "endpoint view, bytes by endpoints: "
        + fit(sizes, [memory_bytes(lambda s=s: make_views(s)) for s in sizes])
    )


def queue_of(policy: str, workspaces: int, length: int) -> object:
    queue = queue_policies.get(policy).from_config(terms=lambda w: WorkspaceTerms())
    for number in range(length):
        queue.push(
            QueuedAttempt(
                f"k{number}", f"w{number % workspaces}", 4, float(number), 10.0, 0.0
            )
        )
    return queue


def queues() -> None:
    for policy in queue_policies:
        for label, sizes, make in (
            ("active workspaces", [10, 100, 1000, 5000], lambda s: (s, 5000)),
            ("queue length", [10, 100, 1000, 5000], lambda s: (5, s)),
        ):
            times = []
            for size in sizes:
                queue = queue_of(policy, *make(size))

                def turn(queue: object = queue) -> None:
                    item = queue.pop(1.0)
                    queue.push(item)

                times.append(time_us(turn, 20 if policy[0] == "g" else 300))
            print(f"queue {policy}, us a pop and push by {label}: {fit(sizes, times)}")
    sizes = [100, 1000, 5000]
    print(
        "queued attempt, bytes by length: "
        + fit(
            sizes,
            [memory_bytes(lambda s=s: queue_of("weighted_fair", 50, s)) for s in sizes],
        )
    )


def config_of(workspaces: int) -> object:
    document = {
        "pools": {"p": {"kind": "service"}},
        "workspaces": {
            f"workspace-{n}": {"key_hashes": [f"{n:064x}"]} for n in range(workspaces)
        },
    }
    return config_from_document(document).unwrap()


def configuration() -> None:
    sizes = [1000, 5000, 20_000]
    stored, loads, held, heads, changed = [], [], [], [], []
    for size in sizes:
        config = config_of(size)
        chunks = split(config)
        head = make_head(config)
        data = {chunk.key: chunk.data for chunk in chunks.values()}
        stored.append(sum(len(chunk) for chunk in data.values()))
        heads.append(len(encode_head(head)))
        started = time.perf_counter()
        tracker = ConfigTracker()
        tracker.offer(head, data)
        loads.append((time.perf_counter() - started) * 1000)

        def load(head: object = head, data: dict = data) -> ConfigTracker:
            tracker = ConfigTracker()
            tracker.offer(head, {key: bytes(value) for key, value in data.items()})
            return tracker

        held.append(memory_bytes(load))
        one = {**config.workspaces, "workspace-7": WorkspaceConfig(share=2.0)}
        change = apply_change(
            head,
            msgspec.structs.replace(config, workspaces=one),
            command_id="c",
            operator="o",
            command="set share of workspace workspace-7 to 2",
            at_s=1.0,
        ).unwrap()
        fetched = sum(len(chunk.data) for chunk in change.new_chunks)
        changed.append(fetched + len(encode_head(change.head)))
    print(f"configuration, stored bytes by workspaces: {fit(sizes, stored)}")
    print(f"configuration, load ms by workspaces: {fit(sizes, loads)}")
    print(f"configuration, bytes held by workspaces: {fit(sizes, held)}")
    print(f"configuration, head bytes without audit by workspaces: {fit(sizes, heads)}")
    print(f"configuration, bytes fetched for one change: {fit(sizes, changed)}")


def claims() -> None:
    sizes = [1000, 10_000, 40_000]

    def log_of(size: int) -> ClaimLog:
        log = ClaimLog(shard=0, slot_count=256, retention_s=3600.0)
        log.record_read(0, SlotView(0, None), 0.0)
        ids = {f"k{n:032x}": f"{n:016x}" for n in range(size)}
        log._record_tail(SlotView(1, ClaimSlot(0, (ClaimBatch("b", 0.0, ids),))))
        return log

    held = [memory_bytes(lambda s=s: log_of(s)) for s in sizes]
    print(f"claim, bytes held by claims: {fit(sizes, held)}")
    batch = ClaimSlot(
        0, (ClaimBatch("b", 0.0, {f"k{n:032x}": f"{n:016x}" for n in range(400)}),)
    )
    size = len(msgspec.msgpack.encode(batch))
    print(f"claim, stored bytes each: about {size / 400:.0f}")


def membership() -> None:
    sizes = [100, 500, 1500]
    times = []
    for size in sizes:
        halls = {f"e{n}": f"h{n % 22}" for n in range(size)}
        times.append(
            time_us(lambda h=halls: choose_subset("node", h, hall="h1", size=40), 5)
        )
    print(f"subset, us by endpoints of a pool: {fit(sizes, times)}")
    ids = [f"e{n}" for n in range(350)]
    plain_us = time_us(lambda: rendezvous_order("r", ids), 20)
    print(f"note holders by plain rendezvous over 350 entries: {plain_us:.0f} us")


def protocol() -> None:
    load = Load(3, 8, 300, 250.0, 25.0, 8, [ClassLoad(1, 100.0), ClassLoad(5, 900.0)])
    submit = Submit(
        "r" * 33,
        "generate",
        3,
        "review",
        "club-a",
        5,
        900.0,
        True,
        True,
        64,
        b"x" * 200,
    )
    tokens = Tokens(
        [TokenPart("r" * 33, "generate", 3, n, ["abcd "]) for n in range(8)]
    )
    for name, message in (("load", load), ("submit", submit), ("8 tokens", tokens)):
        data = encode(1, [message])
        print(
            f"message {name}: {len(data)} bytes, encode "
            f"{time_us(lambda m=message: encode(1, [m]), 500):.0f} us, decode "
            f"{time_us(lambda d=data: decode(d), 500):.0f} us"
        )


def main() -> None:
    routing()
    queues()
    configuration()
    claims()
    membership()
    protocol()


if __name__ == "__main__":
    main()
