"""Provide the programs of the two builds that a soak runs side by side.

The sources of the older build are extracted from the git history of this checkout into
a folder of their own. Relies on git, and on the libraries that are installed here.
"""

import subprocess
import tarfile
import tempfile
from pathlib import Path

import msgspec

from leadford_standins.soak._base import SoakOptions, UpgradeWay
from leadford_standins.soak.parts import PROGRAM

# Path of the program that starts an entry, relative to the root of a checkout.
RELATIVE_PROGRAM = PROGRAM.relative_to(PROGRAM.parents[1])
CHECKOUT_ROOT = PROGRAM.parents[1]


class SoakBuilds(msgspec.Struct, frozen=True):
    """Hold the program that starts an entry of each build."""

    newer: Path
    older: Path

    def program(self, *, is_newer: bool) -> Path:
        """Return the program of a build."""
        return self.newer if is_newer else self.older

    def first_program(self, options: SoakOptions, number: int) -> Path:
        """Return the program with which an entry starts."""
        is_newer = not options.older
        if options.upgrade is UpgradeWay.HALF:
            is_newer |= number >= options.entries // 2
        return self.program(is_newer=is_newer)


def provide_builds(options: SoakOptions, folder: Path) -> SoakBuilds:
    """Return the programs of a soak, with the older build in a folder.

    Errors: raises CalledProcessError if the history does not contain the commit.
    """
    newer = Path(options.program) if options.program else PROGRAM
    older = _check_out(options.older, folder) if options.older else newer
    return SoakBuilds(newer, older)


def _check_out(commit: str, folder: Path) -> Path:
    """Extract the sources of a commit unless they exist, and return its program."""
    checkout = folder.resolve() / f"build-{commit}"
    if not checkout.exists():
        folder.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryDirectory(dir=folder) as partial:
            _extract(commit, Path(partial))
            _publish(Path(partial) / "sources", checkout)
    return checkout / RELATIVE_PROGRAM


def _extract(commit: str, folder: Path) -> None:
    """Extract the sources of a commit into a folder."""
    archive = folder / "sources.tar"
    paths = ["platform", "packages"]
    subprocess.run(
        [
            "git",
            "-C",
            str(CHECKOUT_ROOT),
            "archive",
            f"--output={archive}",
            commit,
            *paths,
        ],
        check=True,
    )
    with tarfile.open(archive) as sources:
        sources.extractall(folder / "sources", filter="data")


def _publish(sources: Path, checkout: Path) -> None:
    """Move complete sources to their path, unless a concurrent soak did so first."""
    try:
        sources.rename(checkout)
    except OSError:
        if not checkout.exists():
            raise
