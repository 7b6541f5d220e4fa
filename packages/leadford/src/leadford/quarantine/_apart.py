"""Choose where a request under suspicion runs: apart from others under suspicion.

Choosers send a request that lost its endpoint where they send the next one like it, by
load, hall and prompt. So innocents would follow the request that took them along, and
be taken along again. Chance parts them, most of all where other endpoints run no
request under suspicion: of 99,643 innocents at six endpoints 17 lose all their
attempts, and 208 where the usual choice sends them (`test_innocents`, four seeds).
"""

from collections.abc import Mapping
from random import Random

from leadford.common import EndpointId


def choose_apart(
    suspects_by_endpoint: Mapping[EndpointId, int], random: Random
) -> EndpointId | None:
    """Return one of the endpoints with the fewest requests under suspicion, by chance.

    `suspects_by_endpoint` holds every endpoint that may be chosen.
    """
    if not suspects_by_endpoint:
        return None
    fewest = min(suspects_by_endpoint.values())
    return random.choice(
        [found for found, count in suspects_by_endpoint.items() if count == fewest]
    )
