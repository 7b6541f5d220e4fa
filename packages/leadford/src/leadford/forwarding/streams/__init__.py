"""Decide where a stream that broke off may go on."""

from leadford.forwarding.streams._origin import StreamOrigin

__all__ = ["StreamOrigin"]
