"""A suspension is reported once, and other time that passes is not reported."""

from leadford_server.clock import SuspensionWatch


class Clocks:
    def __init__(self):
        self.steady = 100.0
        self.boot = 500.0

    def pass_time(self, seconds):
        self.steady += seconds
        self.boot += seconds


def make_watch(clocks):
    watch = SuspensionWatch(boot=lambda: clocks.boot, steady=lambda: clocks.steady)
    assert watch.measure_suspension_s() == 0.0
    return watch


def test_a_suspension_is_noticed_once():
    clocks = Clocks()
    watch = make_watch(clocks)
    clocks.pass_time(1.0)
    clocks.boot += 10.0
    assert watch.measure_suspension_s() == 10.0
    clocks.pass_time(1.0)
    assert watch.measure_suspension_s() == 0.0


def test_time_that_passes_is_no_suspension():
    clocks = Clocks()
    watch = make_watch(clocks)
    clocks.pass_time(30.0)
    clocks.boot += 0.1
    assert watch.measure_suspension_s() == 0.0


def test_two_short_suspensions_count_apart():
    clocks = Clocks()
    watch = make_watch(clocks)
    for _ in range(2):
        clocks.boot += 0.5
        assert watch.measure_suspension_s() == 0.5
