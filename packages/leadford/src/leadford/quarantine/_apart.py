"""Choose the endpoint for a suspected request, apart from other suspected requests.

The usual choosers select by load, hall and prompt, so they send similar requests to the
same endpoint after a crash. Harmless requests would follow the request that crashed
their endpoint, and lose the next endpoint to it as well. A random choice separates
them, most of all where other endpoints run no suspected request: of 99,643 harmless
requests at six endpoints 17 lose all their attempts, and 208 with the usual choice
(`test_innocents`, four seeds).
"""

from collections.abc import Mapping
from random import Random

from leadford.common import EndpointId


def choose_apart(
    suspects_by_endpoint: Mapping[EndpointId, int], random: Random
) -> EndpointId | None:
    """Return a random one of the endpoints with the fewest suspected requests.

    `suspects_by_endpoint` maps each eligible endpoint to its number of suspected
    requests.
    """
    if not suspects_by_endpoint:
        return None
    fewest = min(suspects_by_endpoint.values())
    return random.choice(
        [found for found, count in suspects_by_endpoint.items() if count == fewest]
    )
