"""Entries of a deployment never share a port."""

from random import SystemRandom
from types import SimpleNamespace

from leadford_standins.wire import _ports


def test_a_port_that_was_given_out_is_not_given_out_again(monkeypatch):
    # Nothing binds the first ports before the third one is drawn.
    given = [_ports.free_port(), _ports.free_port()]
    drawn_again = list(given)

    def randrange(start, end):
        return (
            drawn_again.pop() if drawn_again else SystemRandom().randrange(start, end)
        )

    random = SimpleNamespace(randrange=randrange)
    monkeypatch.setattr(_ports, "_PORT_RANDOM", random)
    assert _ports.free_port() not in given
    assert drawn_again == []
