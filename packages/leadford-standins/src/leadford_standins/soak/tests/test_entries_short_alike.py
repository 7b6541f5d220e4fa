"""Entries that are all short of processor time serve what they bear together."""

import asyncio

from leadford_standins.soak.tests.test_busy_entries import BusyFleet, End, run

ENTRIES = 3
# The stop between two runs of a process that gives it four fifths of a core.
STOP_S = 0.0015
# Other processes take three quarters of a core in long slices.
SHORT = {"run_s": 0.005, "stop_s": 0.015}
# They leave a tenth of a core.
SCARCE = {"run_s": 0.005, "stop_s": 0.045}
DOWN_S = 2.0
SETTLING_S = 4.0
SHORT_S = 8.0
# What entries bear that have a quarter of a core each.
PER_S = 110
# Aim: of what they bear.
MIN_SERVED_FRACTION = 0.9
# No more attempts than may be left unserved.
MAX_UNREAD_FRACTION = 0.1
# Time within which an entry that is ready takes a new connection, and the callers that
# try meanwhile.
CONTACT_S = 3.0
CALLERS = 8
RETRY_S = 0.05


def attempts(fleet, since, end):
    """Return the attempts that were sent since a moment and ended in one way."""
    return [a for a in fleet.tries_ if a.sent_at >= since and a.end is end]


def test_entries_that_other_processes_hold_up_close_connections_unread(tmp_path):
    # Each took the delay for more callers than it bears, and none was less late.
    async def scenario(fleet):
        await fleet.restart_all(DOWN_S)
        await fleet.send_for(SETTLING_S, PER_S, fleet.evenly)
        fleet.replace_limits(**SHORT)
        short_at = await fleet.send_for(SHORT_S, PER_S, fleet.evenly)
        described = fleet.describe(short_at)
        served = len(attempts(fleet, short_at, End.SERVED))
        assert served >= MIN_SERVED_FRACTION * SHORT_S * PER_S, described
        unread = len(attempts(fleet, short_at, End.UNREAD))
        assert unread <= MAX_UNREAD_FRACTION * SHORT_S * PER_S, described

    run(scenario, tmp_path, entries=ENTRIES, route="resumed", stop_s=STOP_S)


def test_an_entry_that_starts_beside_other_processes_takes_no_connection(tmp_path):
    # It has little processor time from its start on, and says that it is ready.
    async def scenario(fleet):
        await fleet.restart_all(DOWN_S)
        fleet.replace_limits(**SCARCE)
        for entry in range(ENTRIES):
            await fleet.wait_ready(entry)
        loop = asyncio.get_running_loop()
        since = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS * ENTRIES):
                group.create_task(fleet.try_often(number % ENTRIES, SHORT_S))
        for entry in range(ENTRIES):
            taken = [a for a in fleet.tries_ if a.entry == entry and a.sent_at >= since]
            taken_at = sorted(a.sent_at for a in taken if a.end is not End.UNREAD)
            moments = [since, *taken_at, since + SHORT_S]
            pauses_s = [b - a for a, b in zip(moments[:-1], moments[1:], strict=True)]
            assert max(pauses_s) < CONTACT_S, (entry, fleet.describe(since))

    run(scenario, tmp_path, fleet_type=TryingFleet, entries=ENTRIES, stop_s=STOP_S)


class TryingFleet(BusyFleet):
    """Have callers that try one entry again and again."""

    async def wait_ready(self, entry):
        """Wait until an entry answers."""
        while await self._try(entry, 1, self._choose_route()) is not End.SERVED:
            await asyncio.sleep(RETRY_S)

    async def try_often(self, entry, seconds):
        """Send one request after the other to an entry, each on a new connection."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await self._try(entry, 1, self._choose_route())
            await asyncio.sleep(RETRY_S)
