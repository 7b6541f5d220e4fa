"""Build the ids of the starts of an endpoint, which may keep its name."""

import re

from leadford.common import EndpointId

_START = re.compile(r"@\d+$")


def endpoint_start_id(name: str, born: int | None) -> EndpointId:
    """Return the id of one start of an endpoint; without `born`, this is its name.

    Errors: raises ValueError for a name that looks like the id of a start.
    """
    if _START.search(name):
        raise ValueError(f"name {name!r} looks like a start")
    return EndpointId(name if born is None else f"{name}@{born}")


def endpoint_name(endpoint_id: EndpointId) -> str:
    """Return the name that an endpoint uses for itself, from the id of a start."""
    return _START.sub("", endpoint_id)
