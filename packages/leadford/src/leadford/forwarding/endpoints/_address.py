"""Tell whether an address can be connected to, whoever wrote it."""

import ipaddress

MAX_PORT = 65_535


def is_dialable(address: str) -> bool:
    """Tell whether an address is one of a host and a port, by numbers."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return False
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast)
