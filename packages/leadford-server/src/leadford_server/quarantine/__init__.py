"""Track which requests crash their endpoints, for one process.

The rules are in `leadford.quarantine`.
"""

from leadford_server.quarantine._requests import RequestQuarantine

__all__ = ["RequestQuarantine"]
