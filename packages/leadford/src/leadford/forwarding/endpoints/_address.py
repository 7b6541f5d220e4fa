"""Check whether an address can be connected to, whatever its source."""

import ipaddress

MAX_PORT = 65_535


def is_dialable(address: str) -> bool:
    """Tell whether an address is a numeric IPv4 address with a port."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return False
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast)
