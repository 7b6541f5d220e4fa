"""Hold what one process knows of requests that end their endpoints.

The rules stand in `leadford.quarantine`.
"""

from leadford_server.quarantine._requests import RequestQuarantine

__all__ = ["RequestQuarantine"]
