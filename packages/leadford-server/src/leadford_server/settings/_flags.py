"""Let environment variables stand in for flags that are not given."""

from collections.abc import Mapping, Sequence

PREFIX = "LEADFORD_"


def with_environment(
    arguments: Sequence[str], environment: Mapping[str, str], names: Sequence[str]
) -> list[str]:
    """Return arguments, completed by `LEADFORD_*` for the flags left out."""
    completed = list(arguments)
    if any(argument in ("-h", "--help") for argument in completed):
        return completed
    given = {argument.split("=", 1)[0] for argument in completed}
    for name in names:
        flag = "--" + name.replace("_", "-")
        value = environment.get(PREFIX + name.upper())
        if value is None or flag in given:
            continue
        completed.append(f"{flag}={value}")
    return completed
