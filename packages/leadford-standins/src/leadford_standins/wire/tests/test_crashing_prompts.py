"""Requests that share a part of their prompt crash each engine that answers them.

They have ids, bodies, keys and paths of their own, come at all entries, and share the
first part of the prompt and the caller with harmless requests.
"""

import asyncio

import msgspec
import pytest

from leadford_standins.wire import run_scenario

# The time after the fifth crash in which the crashing part has to be known everywhere.
CONTACT_S = 3.0
MAX_ACCEPTED_CRASHES = 5
MAX_LATER_RUNS = 3
RESTART_DELAY_S = 0.8
SHARED_PART = "5ha1ed"
CRASHING_PARTS = ("bad001", "bad002")
HARMLESS_PART_COUNT = 5
CRASHING_INTERVAL_S = 0.15
HARMLESS_INTERVAL_S = 0.08
# Time before the first crashing request, and for which they come.
LEAD_S = 1.0
SECONDS = 6.0
# Fraction of harmless requests served at the first attempt beside crashing ones.
MIN_SERVED_FRACTION = 0.5
# A refusal for longer than this is a quarantine.
MIN_QUARANTINE_RETRY_AFTER_S = 5.0


class Prompts(msgspec.Struct, frozen=True):
    """Hold the prompts of a scenario, and the paths on which crashing ones come."""

    crashing: tuple[str, ...]
    paths: tuple[str, ...] = ("/resumed/x",)

    def path(self, number):
        """Return the path of one crashing request."""
        return f"{self.paths[number % len(self.paths)]}{number}"

    def text(self, number):
        """Return the prompt of one crashing request, with a last part of its own."""
        return f"{self.crashing[number % len(self.crashing)]},a{number:x}:20"


FIRST = Prompts(("bad001:50", "bad001:50,c1:20"))
MIDDLE = Prompts((f"{SHARED_PART}:50,bad001:30", f"{SHARED_PART}:50,bad001:30,c1:9"))
LATE = Prompts((f"{SHARED_PART}:50,c1:9,c2:9,bad001:30",))
TWO = Prompts((f"{SHARED_PART}:50,bad001:30", f"{SHARED_PART}:50,bad002:30"))
ONCE = msgspec.structs.replace(MIDDLE, paths=("/once/x",))
BOTH_ROUTES = msgspec.structs.replace(MIDDLE, paths=("/once/x", "/resumed/x"))


class Traffic:
    """Send crashing and harmless requests to all entries, and keep their answers."""

    def __init__(self, deployment, prompts):
        self.deployment = deployment
        self.prompts = prompts
        self.crashing_answers_ = []
        self.harmless_answers_ = []

    async def run(self):
        """Send harmless requests, and crashing ones after some time."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_all_harmless())
            await asyncio.sleep(LEAD_S)
            until = asyncio.get_running_loop().time() + SECONDS
            number = 0
            while asyncio.get_running_loop().time() < until:
                group.create_task(self.send_crashing(number))
                number += 1
                await asyncio.sleep(CRASHING_INTERVAL_S)

    async def send_all_harmless(self):
        async with asyncio.TaskGroup() as group:
            for number in range(int((LEAD_S + SECONDS) / HARMLESS_INTERVAL_S)):
                group.create_task(self._send_harmless(number))
                await asyncio.sleep(HARMLESS_INTERVAL_S)

    async def _send_harmless(self, number):
        sent_at = asyncio.get_running_loop().time()
        part = f"0k{number % HARMLESS_PART_COUNT}"
        answer = await self.deployment.send(
            "/resumed/x",
            request_id=f"harmless-{number}",
            entry=number % self.deployment.entries,
            body=f"harmless {number}".encode(),
            headers={"X-Prefix-Hash": f"{SHARED_PART}:50,{part}:20,b{number:x}:9"},
        )
        self.harmless_answers_.append((sent_at, answer))

    async def send_crashing(self, number):
        answer = await self.deployment.send(
            self.prompts.path(number),
            request_id=f"crashing-{number}",
            entry=number % self.deployment.entries,
            body=f"crashing {number}".encode(),
            headers={"X-Prefix-Hash": self.prompts.text(number)},
        )
        self.crashing_answers_.append((number, answer))


def crash_times(deployment):
    """Return when each engine crashed, in order."""
    return sorted(engine.crashed_at_ for engine in deployment.crashed_endpoints_)


def crashing_runs(deployment):
    """Return each run of a crashing request at an engine."""
    engines = {*deployment.engines, *deployment.crashed_endpoints_}
    runs = [run for engine in engines for run in engine.runs_]
    return [run for run in runs if run.body.startswith(b"crashing")]


def assert_soon_sent_to_none(deployment, crashing_parts):
    """Check the bound on each part, as users state it."""
    for part in crashing_parts:
        runs = [
            run
            for run in crashing_runs(deployment)
            if part in run.headers["X-Prefix-Hash"]
        ]
        times = sorted(run.at_s for run in runs)
        assert len(times) >= 3
        if len(times) <= MAX_ACCEPTED_CRASHES:
            continue
        known_by = times[MAX_ACCEPTED_CRASHES - 1] + CONTACT_S
        assert len([at for at in times if at > known_by]) <= MAX_LATER_RUNS
    # All that may run after the fifth crash of each part.
    most = len(crashing_parts) * (MAX_ACCEPTED_CRASHES + MAX_LATER_RUNS)
    assert len(crash_times(deployment)) <= most


def assert_harmless_served(traffic, since):
    """Check that harmless requests sent since a moment are served at once."""
    sent = [(at, answer.code) for at, answer in traffic.harmless_answers_]
    codes = [code for at, code in sent if at >= since]
    assert len(codes) >= 20
    assert codes.count(200) >= MIN_SERVED_FRACTION * len(codes)
    assert_served_at_the_end(traffic)


def assert_served_at_the_end(traffic):
    """Check that nothing is left that stands against harmless requests."""
    sent = [(at, answer.code) for at, answer in traffic.harmless_answers_]
    end = max(at for at, _ in sent)
    last = [code for at, code in sent if at >= end - 1.5]
    assert last == [200] * len(last)


def assert_none_quarantined(traffic):
    """Check that no harmless request was refused because of its prompt."""
    for _, answer in traffic.harmless_answers_:
        retry_after_s = float(answer.headers.get("Retry-After", 0.0))
        assert retry_after_s < MIN_QUARANTINE_RETRY_AFTER_S


async def run_traffic(deployment, prompts, crashing_parts):
    """Run the traffic and check both promises."""
    await deployment.until_linked()
    traffic = Traffic(deployment, prompts)
    await traffic.run()
    assert_soon_sent_to_none(deployment, crashing_parts)
    assert_harmless_served(traffic, crash_times(deployment)[0])
    assert_none_quarantined(traffic)
    last_number, last_answer = max(traffic.crashing_answers_, key=lambda pair: pair[0])
    assert last_answer.code == 503
    ran_ids = {run.request_id for run in crashing_runs(deployment)}
    assert f"crashing-{last_number}" not in ran_ids


@pytest.mark.parametrize(
    "prompts",
    [FIRST, MIDDLE, LATE, ONCE, BOTH_ROUTES],
    ids=["first", "middle", "late", "once", "both-routes"],
)
def test_requests_that_share_a_crashing_part_are_soon_sent_to_none(prompts):
    # Crashes were counted by whole request, so that each new one began at zero.
    async def scenario(deployment):
        deployment.crash_on_part("bad001", restart_delay_s=RESTART_DELAY_S)
        await run_traffic(deployment, prompts, CRASHING_PARTS[:1])

    run_scenario(scenario, entries=3, endpoints=6)


def test_two_crashing_parts_at_once_are_told_apart():
    # The first part is present at the crashes of both, and must not be blamed.
    async def scenario(deployment):
        for part in CRASHING_PARTS:
            deployment.crash_on_part(part, restart_delay_s=RESTART_DELAY_S)
        await run_traffic(deployment, TWO, CRASHING_PARTS)

    run_scenario(scenario, entries=3, endpoints=8)


def test_a_part_that_crashes_engines_after_some_events_is_known():
    # A run whose answer has begun counted for half a crash.
    async def scenario(deployment):
        deployment.crash_on_part(
            "bad001", restart_delay_s=RESTART_DELAY_S, events_before_crash=2
        )
        await run_traffic(deployment, MIDDLE, CRASHING_PARTS[:1])

    run_scenario(scenario, entries=3, endpoints=6)


def test_engines_that_come_back_under_their_id_do_not_clear_a_part():
    # An engine that answers again took back every case that came with its id.
    async def scenario(deployment):
        deployment.crash_on_part(
            "bad001", restart_delay_s=RESTART_DELAY_S, keeps_id=True
        )
        await run_traffic(deployment, MIDDLE, CRASHING_PARTS[:1])

    run_scenario(scenario, entries=3, endpoints=6)


def test_entries_without_a_link_to_each_other_know_a_crashing_part():
    # From eight entries on, only those that follow the store hold links to all.
    async def scenario(deployment):
        deployment.crash_on_part("bad001", restart_delay_s=RESTART_DELAY_S)
        traffic = Traffic(deployment, MIDDLE)
        await traffic.run()
        assert_soon_sent_to_none(deployment, CRASHING_PARTS[:1])
        assert_harmless_served(traffic, crash_times(deployment)[0])
        assert_none_quarantined(traffic)

    run_scenario(scenario, entries=9, endpoints=6)


def test_no_part_is_blamed_for_engines_that_end_by_themselves():
    # Harmless requests with one first part run at each engine that ends.
    async def scenario(deployment):
        await deployment.until_linked()
        for engine in deployment.engines:
            engine.pause_s = 0.05
        traffic = Traffic(deployment, MIDDLE)
        sending = asyncio.ensure_future(traffic.send_all_harmless())
        for _ in range(10):
            await asyncio.sleep(0.4)
            busiest = max(deployment.engines, key=lambda engine: len(engine.runs_))
            deployment.crash_engine(busiest, restart_delay_s=RESTART_DELAY_S)
        await sending
        assert_none_quarantined(traffic)
        assert_served_at_the_end(traffic)

    run_scenario(scenario, entries=3, endpoints=6)


def test_an_entry_that_starts_later_knows_which_part_crashes_engines():
    # What the others know is told to a new entry as soon as it has a link.
    async def scenario(deployment):
        deployment.crash_on_part("bad001", restart_delay_s=RESTART_DELAY_S)
        await run_traffic(deployment, MIDDLE, CRASHING_PARTS[:1])
        crash_count = len(deployment.crashed_endpoints_)
        # All are replaced in turn, the one that saw most of the crashes too.
        for number in range(deployment.entries):
            entry = await deployment.restart_entry(number)
            await deployment.until(lambda entry=entry: entry.is_ready)
            await deployment.until_linked()
        traffic = Traffic(deployment, MIDDLE)
        for number in range(100, 109):
            await traffic.send_crashing(number)
        assert [answer.code for _, answer in traffic.crashing_answers_] == [503] * 9
        assert len(deployment.crashed_endpoints_) == crash_count

    run_scenario(scenario, entries=3, endpoints=6)
