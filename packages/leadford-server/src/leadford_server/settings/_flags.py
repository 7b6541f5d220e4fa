"""Add flags from environment variables where the command line omits them."""

from collections.abc import Mapping, Sequence

ENVIRONMENT_PREFIX = "LEADFORD_"


def with_environment(
    arguments: Sequence[str], environment: Mapping[str, str], names: Sequence[str]
) -> list[str]:
    """Return the arguments, with omitted flags added from `LEADFORD_*` variables."""
    completed = list(arguments)
    if any(argument in ("-h", "--help") for argument in completed):
        return completed
    given = {argument.split("=", 1)[0] for argument in completed}
    for name in names:
        flag = "--" + name.replace("_", "-")
        value = environment.get(ENVIRONMENT_PREFIX + name.upper())
        if value is None or flag in given:
            continue
        completed.append(f"{flag}={value}")
    return completed
