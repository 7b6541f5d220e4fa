"""A soak provides the program of each build."""

import subprocess
from concurrent.futures import ThreadPoolExecutor

import pytest

from leadford_standins.soak import SoakOptions, UpgradeWay
from leadford_standins.soak._builds import CHECKOUT_ROOT, SoakBuilds, provide_builds

OLDER, NEWER = "older", "newer"


def first_programs(**fields):
    options = SoakOptions(seed=1, entries=4, **fields)
    builds = SoakBuilds(NEWER, OLDER)
    return [builds.first_program(options, number) for number in range(4)]


def test_entries_start_as_the_build_that_is_replaced():
    assert first_programs() == [NEWER] * 4
    assert first_programs(older="c") == [OLDER] * 4
    assert first_programs(older="c", upgrade=UpgradeWay.AND_BACK) == [OLDER] * 4


def test_half_of_the_entries_stay_the_older_build():
    half = first_programs(older="c", upgrade=UpgradeWay.HALF)
    assert half == [OLDER, OLDER, NEWER, NEWER]


def head_commit():
    """Return the commit that is checked out."""
    found = subprocess.run(
        ["git", "-C", str(CHECKOUT_ROOT), "rev-parse", "HEAD"],
        capture_output=True,
        text=True,
    )
    if found.returncode != 0:
        pytest.skip("the sources came without their history")
    return found.stdout.strip()


def test_the_older_build_comes_from_the_history(tmp_path):
    options = SoakOptions(seed=1, older=head_commit())
    builds = provide_builds(options, tmp_path)
    assert builds.older.is_relative_to(tmp_path)
    assert builds.older.exists()
    assert not builds.newer.is_relative_to(tmp_path)
    # A second soak reuses the sources.
    assert provide_builds(options, tmp_path) == builds


def test_soaks_beside_each_other_share_the_older_build(tmp_path):
    options = SoakOptions(seed=1, older=head_commit())
    with ThreadPoolExecutor(4) as pool:
        found = list(pool.map(lambda _: provide_builds(options, tmp_path), range(4)))
    assert len(set(found)) == 1
    assert found[0].older.exists()
    assert [path.name for path in tmp_path.iterdir()] == [f"build-{options.older}"]


def test_a_commit_that_is_not_in_the_history_is_an_error(tmp_path):
    with pytest.raises(subprocess.CalledProcessError):
        provide_builds(SoakOptions(seed=1, older="no-such-commit"), tmp_path)
