"""No stream is joined at an entry that is out of step with the others."""

import pytest

from leadford_standins.wire import run_scenario
from leadford_standins.wire.tests.broken_streams import (
    STREAMS_COUNT,
    break_off,
    resume,
    software_of_runs,
)
from leadford_standins.wire.tests.cut_entries import (
    NEVER_S,
    cut_links,
    delay_calls,
)

RECORDS = "leadford-software"
LISTING = "servers"
ADDED_COUNT = 3


async def add_second_version(deployment, entry):
    """Add engines of v2, and wait until one entry knows them."""
    for _ in range(ADDED_COUNT):
        deployment.add_engine("v2")
    await deployment.until(lambda: deployment.knows_all_endpoints(entry))


async def stop_listing(deployment, entry):
    """Let an entry see no further change of the listing."""
    delay_calls(entry, LISTING)
    # Ends the watch that is under way.
    engine = deployment.engines[0]
    deployment.store.put(LISTING, engine.endpoint_id, engine.spec())
    roster, revision = entry.state_.roster_, deployment.store.revision_
    await deployment.until(lambda: roster.changed_position_.revision >= revision)


# Calls that take 240 ms let a stream begin before its version is recorded.
@pytest.mark.parametrize("delay_s", [0.24, NEVER_S])
def test_a_stream_of_a_version_not_yet_recorded_is_joined_at_no_cut_entry(delay_s):
    async def scenario(deployment):
        await deployment.until_linked()
        first, second = deployment.entries_
        await deployment.until(
            lambda: "engine" in second.software_records_.stored_by_id_
        )
        cut_links(second)
        await stop_listing(deployment, second)
        delay_calls(first, RECORDS, delay_s)
        await add_second_version(deployment, first)
        for number in range(STREAMS_COUNT):
            request_id, back_id = f"r{number}", f"back{number}"
            await break_off(deployment, request_id, number)
            began = software_of_runs(deployment.engines, request_id)[0]
            await resume(
                deployment, back_id, number, resumes=request_id, after=2, entry=1
            )
            assert set(software_of_runs(deployment.engines, back_id)) <= {began}

    run_scenario(scenario, endpoints=3, entries=2)
