"""Planned stops that go on after an error or a cancellation."""

from leadford_server.stops._steps import StopStep, StopSteps

__all__ = ["StopStep", "StopSteps"]
