"""Track which requests and which prompt parts crash their endpoints, for one process.

The rules are in `leadford.quarantine`.
"""

from leadford_server.quarantine._prompts import PromptQuarantine
from leadford_server.quarantine._requests import RequestQuarantine

__all__ = ["PromptQuarantine", "RequestQuarantine"]
