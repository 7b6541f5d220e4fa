"""Base type of the messages between leadford's processes, and protocol versions.

Each message is encoded as a CBOR array: its type number, then its fields in order.
New fields are only appended and have a default, so a reader ignores fields that it
does not know and fills in those that an older writer leaves out.
"""

import msgspec

# The newest version of the protocol that this build supports.
PROTOCOL_VERSION = 14
# The first version that transfers configurations in parts.
PROTOCOL_CONFIG_PARTS = 2
# The first version in which entries report evacuated halls to each other.
PROTOCOL_EVACUATIONS = 3
# The first version in which entries share what they know of the whole fleet: its
# backlog, changes of the store, and places of prompts.
PROTOCOL_FLEET = 4
# The first version in which entries compress listings and changes of the store.
PROTOCOL_PACKED = 5
# The first version in which entries report the requests under which endpoints ended.
PROTOCOL_CRASHES = 6
# The version assumed of an entry whose heartbeats do not report the oldest version
# among its links.
PROTOCOL_UNTOLD = 6
# The first version that skips heartbeats that have nothing to report.
PROTOCOL_PACED = 7
# The first version in which one entry also places the prompts of services whose
# engines may be cold.
PROTOCOL_COLD_PLACED = 7
# The first version in which entries report the limits of endpoints to each other.
PROTOCOL_LIMITS = 8
# The first version in which entries report the epoch of the store to each other.
PROTOCOL_EPOCHS = 9
# The first version in which entries report pieces by level of priority, bookings and
# the pace of endpoints.
PROTOCOL_LOAD = 10
# The first version in which entries tell each other which software version of a service
# began a stream.
PROTOCOL_ORIGINS = 11
# The first version in which entries report the prompt parts that were being served when
# endpoints crashed.
PROTOCOL_PROMPTS = 12
# The first version in which entries tell each other which of them is the busiest.
PROTOCOL_SHARES = 12
# The first version in which each entry reports when the store confirmed its
# configuration to it.
PROTOCOL_CONFIRMED = 13
# The first version in which entries tell that a piece is of a stream that goes on.
PROTOCOL_RESUMED = 14
# The oldest version that this build supports.
PROTOCOL_VERSION_MIN = 1


class MessageBase(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Provide the base of messages: a frozen struct that is encoded as an array."""
