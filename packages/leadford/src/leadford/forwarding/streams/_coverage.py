"""Tell whether some entries together know every stream that callers may take up.

The content of a request names its stream only then: a stream of the same content that
nobody knows any more may be the one that is meant.
"""

from collections.abc import Sequence

from leadford.forwarding.streams._replicas import REPLICA_COUNT


def knows_all_streams(known_for_s: Sequence[float], *, horizon_s: float) -> bool:
    """Return whether some entries know each stream of the last `horizon_s`.

    `known_for_s` holds, for the entry that asks and for each entry that may hold
    replicas, since how many seconds it has missed no stream; 0 for one that did not
    answer. A stream is lost if every entry that held it is among the recent ones.

    Units: seconds.
    """
    recent = sum(1 for known_s in known_for_s if not known_s >= horizon_s)
    return recent < min(REPLICA_COUNT, len(known_for_s))
