"""Parse the command line of the operators' tool."""

import sys
import tomllib
from pathlib import Path

import defopt
from returns.result import Failure

from leadford.config import config_from_document

EXIT_FAULTS = 2


def check_config(file: Path) -> int:
    """Check a configuration file whole and list every fault.

    :param file: configuration in TOML
    """
    try:
        document = tomllib.loads(file.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        print(f"{file}: {error}", file=sys.stderr)
        return EXIT_FAULTS
    checked = config_from_document(document)
    if isinstance(checked, Failure):
        for fault in checked.failure():
            print(f"{file}: {fault}", file=sys.stderr)
        return EXIT_FAULTS
    print(f"{file}: {len(checked.unwrap().pipelines)} pipelines, no faults")
    return 0


def main() -> None:
    """Run a subcommand."""
    sys.exit(defopt.run({"check-config": check_config}))


if __name__ == "__main__":
    main()
