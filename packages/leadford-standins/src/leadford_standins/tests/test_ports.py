"""Fleets that run beside each other never share a port."""

from random import Random

import pytest

from leadford_standins.fleet._ports import BLOCK_PORTS, PortBlock


def test_blocks_that_are_held_together_share_no_port():
    blocks = [PortBlock(random=Random(1)) for _ in range(8)]
    try:
        drawn = [block.claim(44) for block in blocks]
        ports = [port for block in drawn for port in block]
        assert len(set(ports)) == 8 * 44
    finally:
        for block in blocks:
            block.release()


def test_a_block_that_was_let_go_is_drawn_again():
    first, second = PortBlock(random=Random(7)), PortBlock(random=Random(7))
    ports = first.claim(3)
    first.release()
    try:
        assert second.claim(3) == ports
    finally:
        second.release()


def test_more_ports_than_a_block_has_are_an_error():
    with pytest.raises(RuntimeError):
        PortBlock(random=Random(1)).claim(BLOCK_PORTS)
