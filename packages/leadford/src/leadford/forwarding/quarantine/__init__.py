"""Keep requests from endpoints that end whoever runs them.

`_digest` tells whether two requests are the same work.
"""

from leadford.forwarding.quarantine._digest import RequestContent, RequestDigest

__all__ = ["RequestContent", "RequestDigest"]
