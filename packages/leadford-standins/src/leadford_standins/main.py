"""Run stand-ins, a whole loopback fleet, or the demonstration.

The commands behind `make up` and `make demo`; a fleet starts `serve` for its stand-ins.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

import defopt
import msgspec

from leadford_standins.fleet import Fleet, FleetSpec, deployments, serve_spec


def serve(*, spec: Path, part: str) -> int:
    """Serve the stand-ins of a fleet.

    :param spec: file that describes the fleet
    :param part: store, or endpoints-N
    """
    decoded = msgspec.json.decode(spec.read_bytes(), type=FleetSpec)
    try:
        asyncio.run(serve_spec(decoded, part))
    except KeyboardInterrupt:
        return 0
    return 0


def up(*, deployment: str = "damier", file: Path = Path("reports/fleet.json")) -> int:
    """Start a fleet and keep it running until interrupted.

    :param deployment: damier or association
    :param file: where to describe the running fleet for `leadford replay`
    """
    # A planned stop ends the fleet too, as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with Fleet(spec=deployments[deployment](), verbosity="info") as fleet:
        described = fleet.file()
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_bytes(msgspec.json.encode(described))
        workspace, key = next(iter(described.api_keys.items()))
        pipeline = next(iter(fleet.spec.document["pipelines"]))
        print(f"{deployment} is up; {file} describes it. Try, as {workspace}:\n")
        print(
            f"curl -N -H 'Authorization: Bearer {key}' -H 'Accept: text/event-stream' "
            f'-d \'{{"prompt": "Explain the opening"}}\' '
            f"{described.entries[0]}/v1/pipelines/{pipeline}/requests\n"
        )
        print(
            f"curl -H 'Authorization: Bearer {key}' "
            f'-d \'{{"prompt": "Explain the opening"}}\' '
            f"{described.entries[-1]}/v1/pipelines/{pipeline}/requests\n"
        )
        print("Ctrl-C stops it.", flush=True)
        try:
            while True:
                time.sleep(3600)
        except KeyboardInterrupt:
            return 0


def demo() -> int:
    """Serve both deployments under a fault and check that nothing went wrong."""
    from leadford_standins.demo import run_demo

    return run_demo()


def soak(
    *,
    seed: int,
    seconds: float = 20.0,
    entries: int = 3,
    endpoints: int = 3,
    requests_per_s: float = 60.0,
    faults_per_s: float = 0.8,
    changes_per_s: float = 0.4,
    ending_per_s: float = 0.0,
    restores_per_s: float = 0.0,
    uneven_per_s: float = 0.0,
    busy_per_s: float = 0.0,
    silent_per_s: float = 0.0,
    losses_per_s: float = 0.0,
    resume_part: float = 0.0,
    long_part: float = 0.15,
    long_work_s: float = 1.2,
    only: list[str] | None = None,
    untimed: bool = False,
    program: str = "",
    older: str = "",
    upgrade: str = "one-by-one",
    keep: Path = Path("reports/soak"),
) -> int:
    """Run entries as processes under random faults; 1 when a promise is broken.

    :param seed: what everything is drawn from
    :param seconds: how long callers send
    :param entries: processes of the forwarding entry
    :param endpoints: endpoints of each service
    :param requests_per_s: requests of all callers together
    :param faults_per_s: faults besides changes of the configuration
    :param changes_per_s: changes of the configuration
    :param ending_per_s: new requests that end whoever runs them
    :param restores_per_s: times that the store comes back from a copy
    :param uneven_per_s: prompt parts that end engines, callers that go to one entry,
        and answers without a length
    :param busy_per_s: entries with little processor time, to which most callers go
    :param silent_per_s: sound endpoints that send nothing for 0.8 to 1.5 s: one,
        several in turn, or all of a service
    :param losses_per_s: losses of all entries at once, and releases of new software
    :param resume_part: part of the streams that callers break off and resume, at
        engines of two software versions
    :param long_part: part of the requests that work long
    :param long_work_s: how long at most these work
    :param only: kinds of fault and change to draw; all when left out
    :param untimed: leave out the checks that hold to a bound on the clock
    :param program: file that starts an entry; that of this checkout when left out
    :param older: commit whose build runs beside this one; none when left out
    :param upgrade: how it gives way: one-by-one, half (of the entries stay) or and-back
    :param keep: folder in which each run keeps its logs
    """
    from leadford_standins.soak import SoakOptions, UpgradeWay, run_soak

    # A soak that is asked to stop ends its processes too, as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    options = SoakOptions(
        seed=seed,
        seconds=seconds,
        entries=entries,
        endpoints=endpoints,
        requests_per_s=requests_per_s,
        faults_per_s=faults_per_s,
        changes_per_s=changes_per_s,
        ending_per_s=ending_per_s,
        restores_per_s=restores_per_s,
        uneven_per_s=uneven_per_s,
        busy_per_s=busy_per_s,
        silent_per_s=silent_per_s,
        losses_per_s=losses_per_s,
        resume_part=resume_part,
        long_part=long_part,
        long_work_s=long_work_s,
        only=tuple(only or ()),
        program=program,
        older=older,
        upgrade=UpgradeWay(upgrade),
    )
    report = run_soak(options, keep / f"seed-{seed}", timed=not untimed)
    print(report.text())
    return 0 if report.is_good else 1


def soak_cases(*, untimed: bool = False, keep: Path = Path("reports/soak")) -> int:
    """Run every kept soak that once failed; 1 when a promise is broken.

    :param untimed: leave out the checks that hold to a bound on the clock
    :param keep: folder in which each run keeps its logs
    """
    from leadford_standins.soak import cases, run_soak

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for case in cases:
        folder = keep / f"case-{case.options.seed}"
        report = run_soak(case.options, folder, timed=not untimed)
        print(f"{report.text()}\nonce failed: {case.cause}\n", flush=True)
        failed += not report.is_good
    return 1 if failed else 0


def main() -> None:
    """Parse the command line."""
    sys.exit(defopt.run([serve, up, demo, soak, soak_cases]))


if __name__ == "__main__":
    main()
