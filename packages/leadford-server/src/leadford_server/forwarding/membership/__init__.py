"""Hold links to other entries, and exchange state over them.

Which entries are linked, which are alive and which to ask is decided in
`leadford.forwarding.membership`.
"""

from leadford_server.forwarding.membership._links import EntryLinks
from leadford_server.forwarding.membership._members import EntryMembers
from leadford_server.forwarding.membership._relays import StoreRelays
from leadford_server.forwarding.membership._round_trips import RoundTrips

__all__ = [
    "EntryLinks",
    "EntryMembers",
    "RoundTrips",
    "StoreRelays",
]
