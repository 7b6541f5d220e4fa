"""Parse the command line of the operators' tool.

`leadford` talks to leadford's own interface; with the entry on the users' platform it
has nothing to do. Each command imports what it needs when it runs.
"""

import os
import sys
import tomllib
from pathlib import Path

import defopt
import msgspec
from returns.result import Failure, Result

from leadford.pipelines.config import FleetConfig, config_from_document

# Exit statuses: a stated outcome was missed; something was wrong with the input.
EXIT_MISSED = 1
EXIT_FAULTS = 2


def _fail(faults: list[str]) -> int:
    for fault in faults:
        print(f"leadford: {fault}", file=sys.stderr)
    return EXIT_FAULTS


def _read_config(file: Path) -> Result[FleetConfig, list[str]]:
    """Return the checked configuration in a file, or every fault in it."""
    try:
        document = tomllib.loads(file.read_text())
    except (OSError, ValueError) as error:
        return Failure([f"{file}: {error}"])
    checked = config_from_document(document)
    return checked.alt(lambda faults: [f"{file}: {fault}" for fault in faults])


def check_config(file: Path) -> int:
    """Check a configuration file whole and list every fault.

    :param file: configuration in TOML
    """
    checked = _read_config(file)
    if isinstance(checked, Failure):
        return _fail(checked.failure())
    config = checked.unwrap()
    print(f"{file}: no faults in {len(config.pipelines)} pipelines")
    return 0


def ask(
    statement: str = "",
    *,
    entry: list[str] | None = None,
    token: str = "",
    wait: bool = False,
    if_version: int = 0,
    json: bool = False,
) -> int:
    """Run a statement of the operators' language, or open a prompt.

    :param statement: the statement; a prompt opens without one
    :param entry: addresses of entries, tried in turn (LEADFORD_ENTRIES)
    :param token: operator token (LEADFORD_TOKEN)
    :param wait: wait until a change is in force everywhere
    :param if_version: refuse a change unless this version is in force
    :param json: print JSON instead of a table
    """
    from leadford_cli.operators import format_answer, run_prompt

    client = _client(entry, token)

    def run(text: str) -> str:
        answer = client.run(text, wait=wait, if_version=if_version)
        if isinstance(answer, Failure):
            return _explain(answer.failure(), text)
        return format_answer(answer.unwrap(), as_json=json)

    if not statement:
        return run_prompt(run)
    answer = client.run(statement, wait=wait, if_version=if_version)
    if isinstance(answer, Failure):
        return _fail([_explain(answer.failure(), statement)])
    print(format_answer(answer.unwrap(), as_json=json))
    return 0


def _explain(error: object, statement: str) -> str:
    if not error.column:
        return "\n".join([error.message, *error.faults])
    return f"{error.message}\n  {statement}\n  {' ' * (error.column - 1)}^"


def _client(entries: list[str] | None, token: str) -> object:
    from leadford_cli.operators import OperatorClient

    known = entries or os.environ.get("LEADFORD_ENTRIES", "").split(",")
    return OperatorClient(
        entries=[address for address in known if address],
        token=token or os.environ.get("LEADFORD_TOKEN", ""),
    )


def apply(
    file: Path,
    *,
    entry: list[str] | None = None,
    token: str = "",
    wait: bool = False,
    if_version: int = 0,
) -> int:
    """Put a configuration file in force.

    :param file: configuration in TOML
    :param entry: addresses of entries, tried in turn (LEADFORD_ENTRIES)
    :param token: operator token (LEADFORD_TOKEN)
    :param wait: wait until it is in force everywhere
    :param if_version: refuse unless this version is in force
    """
    from leadford_cli.operators import format_answer

    checked = _read_config(file)
    if isinstance(checked, Failure):
        return _fail(checked.failure())
    document = msgspec.to_builtins(checked.unwrap())
    client = _client(entry, token)
    answer = client.apply(document, wait=wait, if_version=if_version)
    if isinstance(answer, Failure):
        return _fail([_explain(answer.failure(), "")])
    print(format_answer(answer.unwrap(), as_json=False))
    return 0


def plot(report: Path, *, file: Path = Path("reports/replay.png")) -> int:
    """Draw a replay report as a PNG picture.

    :param report: report of `leadford replay`
    :param file: where to write the picture
    """
    from leadford_cli.plots import draw_report

    try:
        document = msgspec.json.decode(report.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        return _fail([f"{report}: {error}"])
    draw_report(document, file)
    print(file)
    return 0


def replay(
    trace: Path,
    *,
    fleet: Path = Path("reports/fleet.json"),
    outcomes: Path | None = None,
    report: Path = Path("reports/replay.json"),
) -> int:
    """Replay a recorded trace against a running fleet and check the outcomes.

    :param trace: trace file, one JSON object a line
    :param fleet: file that describes the running fleet
    :param outcomes: file that states what must be reached
    :param report: where to write the report
    """
    from leadford_cli.replay import OutcomeBounds, Replay, check_outcomes, read_trace
    from leadford_standins.fleet import FleetFile

    read = read_trace(trace)
    if isinstance(read, Failure):
        return _fail(list(read.failure()))
    bounds = OutcomeBounds()
    try:
        described = msgspec.json.decode(fleet.read_bytes(), type=FleetFile)
        if outcomes is not None:
            bounds = msgspec.json.decode(outcomes.read_bytes(), type=OutcomeBounds)
    except (OSError, msgspec.MsgspecError) as error:
        return _fail([str(error)])
    result = Replay(trace=read.unwrap(), fleet=described).run()
    report.parent.mkdir(parents=True, exist_ok=True)
    report.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    share = result.attainment.share
    print(f"{len(read.unwrap().requests)} requests, attainment {share:.3f}")
    print(f"violations: {result.violations.count}; report in {report}")
    missed = check_outcomes(result, bounds)
    for text in missed:
        print(f"missed: {text}")
    return EXIT_MISSED if missed else 0


def make_trace(
    name: str, file: Path, *, seed: int = 1, duration_s: float = 20.0, scale: float = 1
) -> int:
    """Write a trace of the kinds that are shipped.

    :param name: damier_club_night or admissions_offer_deadline
    :param file: where to write it
    :param seed: seed of the generator
    :param duration_s: length of the trace in seconds
    :param scale: factor on the arrival rates
    """
    from leadford_cli.replay import trace_generators, write_trace

    generator = trace_generators.get(name)
    if generator is None:
        return _fail([f"no trace {name!r}; known: {', '.join(trace_generators)}"])
    write_trace(generator(seed=seed, duration_s=duration_s, scale=scale), file)
    return 0


def main() -> None:
    """Run a subcommand."""
    sys.exit(defopt.run([ask, apply, check_config, replay, make_trace, plot]))


if __name__ == "__main__":
    main()
