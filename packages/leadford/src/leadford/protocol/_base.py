"""What every message between leadford's processes is built on.

Each message travels as a CBOR array: its type number, then its fields in order.
New fields are only ever appended and carry a default, so a reader ignores what it
does not know and fills in what an older writer leaves out.
"""

import msgspec

# Versions of the protocol that this process speaks.
PROTOCOL_VERSION = 9
# The first version in which configurations travel in parts.
PROTOCOL_CONFIG_PARTS = 2
# The first version in which entries tell each other which halls are evacuated.
PROTOCOL_EVACUATIONS = 3
# The first version in which entries tell each other what they know of the whole fleet.
PROTOCOL_FLEET = 4
# The first version in which entries pack what they tell of endpoints.
PROTOCOL_PACKED = 5
# The first version in which entries tell each other under which work endpoints ended.
PROTOCOL_CRASHES = 6
# The version of entries whose heartbeats do not tell the oldest one they are linked to.
PROTOCOL_UNTOLD = 6
# The first version that leaves heartbeats out where nothing is to be told.
PROTOCOL_PACED = 7
# The first version in which one entry also places prompts at engines that may be cold.
PROTOCOL_COLD_PLACED = 7
# The first version in which entries tell each other the limits of endpoints.
PROTOCOL_LIMITS = 8
# The first version in which entries tell each other the epoch of the store.
PROTOCOL_EPOCHS = 9
PROTOCOL_VERSION_MIN = 1


class MessageBase(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Mark a message as a frozen record that travels as an array."""
