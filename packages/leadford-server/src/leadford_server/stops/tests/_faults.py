"""Faults of the parts of a process, for tests of planned stops."""

from operator import attrgetter


def break_once(process, path):
    """Let the first call of a method of a part raise an error."""
    part_name, method_name = path.rsplit(".", 1)
    part = attrgetter(part_name)(process)
    method = getattr(part, method_name)

    def fail(*arguments):
        setattr(part, method_name, method)
        raise RuntimeError("lost")

    setattr(part, method_name, fail)


def count(process, event):
    """Return how often a process has logged an event."""
    return process.log_.journal_.counts_by_event_[event]
