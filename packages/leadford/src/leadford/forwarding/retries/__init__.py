"""Decide what may follow a failed attempt of a forwarded request."""

from leadford.forwarding.retries._window import WindowedRetryBudget

__all__ = ["WindowedRetryBudget"]
