"""Keep the registry of injectors: one function for each kind of fault.

The other modules of this folder register theirs by decorator.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from leadford_standins.soak._base import Fault, FaultKind
from leadford_standins.soak.parts import SoakScene

Injector = Callable[[SoakScene, Fault], Awaitable[None]]

injectors_by_kind: dict[FaultKind, Injector] = {}


def injects(*kinds: FaultKind) -> Callable[[Injector], Injector]:
    """Return a decorator that registers an injector for kinds of fault."""

    def register(injector: Injector) -> Injector:
        for kind in kinds:
            injectors_by_kind[kind] = injector
        return injector

    return register


async def inject(scene: SoakScene, faults: tuple[Fault, ...]) -> None:
    """Inject the faults of a plan, each in its own task, since they overlap."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    running: list[asyncio.Task[None]] = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started_at + fault.at_s - loop.time()))
        running.append(asyncio.create_task(_carry_out(scene, fault)))
    await asyncio.gather(*running)


async def _carry_out(scene: SoakScene, fault: Fault) -> None:
    now = asyncio.get_running_loop().time()
    scene.ledger.injected_.append((now, fault.kind.value, str(fault.target)))
    try:
        await injectors_by_kind[fault.kind](scene, fault)
    except Exception:
        # An injector that fails must not end the run, but the report lists its error.
        scene.ledger.errors_.append(f"{fault.kind.value}: {traceback.format_exc()}")
