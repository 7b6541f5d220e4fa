"""Run one soak: entries, callers and faults concurrently, then the checks.

Owns the order of a run; all randomness comes from the seed of the options. The plan,
the scene and the callers have separate random sources, so their draws do not affect
each other.
"""

import asyncio
import os
import shutil
from pathlib import Path
from random import Random

import msgspec

from leadford_standins.soak._base import SoakOptions, SoakPlan
from leadford_standins.soak._builds import provide_builds
from leadford_standins.soak._ledger import Ledger
from leadford_standins.soak._report import SoakReport, make_report
from leadford_standins.soak.checks import Evidence, run_checks
from leadford_standins.soak.faults import draw_plan, inject
from leadford_standins.soak.parts import Callers, SoakScene, watch_ready

# Time for the entries to accept their first connections.
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


def run_soak(options: SoakOptions, folder: Path, *, timed: bool = True) -> SoakReport:
    """Run a soak with its logs in a folder, and return its report."""
    folder.mkdir(parents=True, exist_ok=True)
    random = Random(options.seed)
    plan = draw_plan(options, Random(random.random()))
    ledger = Ledger()
    scene = SoakScene(
        options=options,
        random=Random(random.random()),
        folder=folder,
        ledger=ledger,
        builds=provide_builds(options, folder.parent),
    )
    callers_random = Random(random.random())
    asyncio.run(_run_scene(scene, plan, callers_random))
    evidence = Evidence(ledger, scene.config_.versions_, options.bounds)
    broken = run_checks(evidence, timed=timed)
    report = make_report(plan, evidence, broken, folder)
    _write_records(folder, plan, ledger, report)
    return report


async def _run_scene(scene: SoakScene, plan: SoakPlan, random: Random) -> None:
    async with scene:
        await _wait_ready(scene)
        callers = Callers(
            options=scene.options,
            random=random,
            ledger=scene.ledger,
            entries=scene.entries_,
            config=scene.config_,
        )
        scene.on_stop_ = callers.use_reserved_connections
        scene.repeat_ = callers.repeat
        scene.send_prompts_ = callers.send_prompts
        scene.favour_ = callers.favour
        ready_task = asyncio.create_task(watch_ready(scene.entries_, scene.ledger))
        loop = asyncio.get_running_loop()
        scene.ends_at_ = loop.time() + scene.options.seconds
        inject_task = asyncio.create_task(inject(scene, plan.faults))
        await callers.run(scene.options.seconds)
        await inject_task
        for entry in scene.entries_:
            entry.is_ending_ = True
            callers.use_reserved_connections(entry)
        await asyncio.gather(*[entry.stop() for entry in scene.entries_])
        await callers.finish()
        ready_task.cancel()


async def _wait_ready(scene: SoakScene) -> None:
    """Wait until every entry listens for callers."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + READY_TIMEOUT_S
    for entry in scene.entries_:
        while True:
            try:
                _, writer = await asyncio.open_connection(*entry.callers)
            except OSError:
                if loop.time() > deadline:
                    raise
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            writer.close()
            break
    now = loop.time()
    for entry in scene.entries_:
        scene.ledger.disturb(entry.name, None, now - READY_TIMEOUT_S, now)


def _write_records(
    folder: Path, plan: SoakPlan, ledger: Ledger, report: SoakReport
) -> None:
    """Write the report, the plan and the records, with which to trace a failure."""
    (folder / "report.txt").write_text(report.text() + "\n")
    (folder / "report.json").write_bytes(msgspec.json.encode(report))
    (folder / "plan.json").write_bytes(msgspec.json.encode(plan))
    records = {
        "sent": list(ledger.sent_by_id_.values()),
        "runs": ledger.runs_by_id_,
        "arrivals": ledger.arrivals_,
        "disturbances": [
            {**msgspec.structs.asdict(fault), "until_s": min(fault.until_s, 1e12)}
            for fault in ledger.disturbances_
        ],
        "incarnations": ledger.incarnations_,
        "departures": ledger.departures_,
        "silences": ledger.silences_,
        "ready": ledger.ready_answers_,
    }
    encoded = msgspec.json.encode(records, enc_hook=str)
    (folder / "ledger.json").write_bytes(encoded)


def remove_folder(folder: Path) -> None:
    """Remove the folder of a run."""
    if os.path.isdir(folder):
        shutil.rmtree(folder)
