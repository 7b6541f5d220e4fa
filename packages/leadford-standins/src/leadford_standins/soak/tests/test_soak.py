"""Short soaks of real processes break no promise of the untimed checks."""

import asyncio
import sys
import tomllib

from leadford_standins.soak import SoakOptions, UpgradeWay
from leadford_standins.soak._builds import CHECKOUT_ROOT
from leadford_standins.soak._cases import cases

# Time limit of a soak, including its start and the planned stop at its end.
SOAK_TIMEOUT_S = 150.0
# Cases replayed in each test run; `leadford-standins soak-cases` replays all.
REPLAYED_CASES = (*cases[:2], cases[-1])


async def run_soak(options, folder):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "leadford_standins.main",
        "soak",
        f"--seed={options.seed}",
        f"--seconds={options.seconds}",
        f"--entries={options.entries}",
        f"--faults-per-s={options.faults_per_s}",
        f"--endpoints={options.endpoints}",
        f"--changes-per-s={options.changes_per_s}",
        f"--ending-per-s={options.ending_per_s}",
        f"--restores-per-s={options.restores_per_s}",
        f"--uneven-per-s={options.uneven_per_s}",
        f"--busy-per-s={options.busy_per_s}",
        f"--silent-per-s={options.silent_per_s}",
        f"--losses-per-s={options.losses_per_s}",
        f"--resume-part={options.resume_part}",
        f"--older={options.older}",
        f"--upgrade={options.upgrade.value}",
        "--untimed",
        f"--keep={folder}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        output, _ = await asyncio.wait_for(process.communicate(), SOAK_TIMEOUT_S)
    except TimeoutError:
        # The soak stops the processes it started.
        process.terminate()
        await process.wait()
        raise
    return process.returncode, output.decode()


def production_commit():
    """Return the commit that runs when an upgrade begins."""
    return tomllib.loads((CHECKOUT_ROOT / "deploy/system.toml").read_text())[
        "production"
    ]


def test_a_soak_of_two_builds_breaks_no_promise(tmp_path):
    options = SoakOptions(
        seed=7001,
        seconds=24.0,
        entries=4,
        ending_per_s=0.1,
        uneven_per_s=0.1,
        resume_part=0.4,
        older=production_commit(),
        upgrade=UpgradeWay.AND_BACK,
    )
    status, output = asyncio.run(run_soak(options, tmp_path))
    assert status == 0, output
    assert "entry-upgraded 8" in output


def test_a_soak_of_silent_endpoints_of_two_versions_breaks_no_promise(tmp_path):
    options = SoakOptions(seed=7003, seconds=20.0, resume_part=0.4, silent_per_s=0.6)
    status, output = asyncio.run(run_soak(options, tmp_path))
    assert status == 0, output
    assert "service-silent" in output
    assert "endpoints-silent-in-turn" in output


def test_a_soak_in_which_all_entries_are_lost_joins_no_versions(tmp_path):
    options = SoakOptions(
        seed=7011,
        seconds=24.0,
        entries=4,
        faults_per_s=0.3,
        resume_part=0.5,
        losses_per_s=0.35,
    )
    status, output = asyncio.run(run_soak(options, tmp_path))
    assert status == 0, output
    assert "all-entries-killed" in output
    assert "software-released" in output


def test_a_soak_of_prompts_and_callers_that_are_uneven_breaks_no_promise(tmp_path):
    options = SoakOptions(seed=7004, seconds=26.0, entries=4, uneven_per_s=0.25)
    status, output = asyncio.run(run_soak(options, tmp_path))
    assert status == 0, output
    assert "part-ends-engines" in output


def test_a_soak_of_entries_short_of_processor_time_breaks_no_promise(tmp_path):
    options = SoakOptions(seed=7005, seconds=20.0, entries=4, busy_per_s=0.25)
    status, output = asyncio.run(run_soak(options, tmp_path))
    assert status == 0, output
    assert "entry-short-of-processor" in output


def test_a_soak_over_a_store_that_comes_back_from_copies_breaks_no_promise(tmp_path):
    options = SoakOptions(seed=7002, seconds=20.0, entries=8, restores_per_s=0.25)
    status, output = asyncio.run(run_soak(options, tmp_path))
    assert status == 0, output
    assert "store-restored" in output


def test_short_soaks_break_no_promise(tmp_path):
    async def main():
        return await asyncio.gather(
            *[run_soak(case.options, tmp_path) for case in REPLAYED_CASES]
        )

    for status, output in asyncio.run(main()):
        assert status == 0, output
        assert "promises broken: 0" in output
