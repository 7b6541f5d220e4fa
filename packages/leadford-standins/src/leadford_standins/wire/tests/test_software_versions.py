"""Continue a stream only at the software version that began it."""

from leadford_standins.wire import Misbehaviour, event_ids, run_scenario

# Streams that one test breaks off, each with a prompt of its own.
STREAMS_COUNT = 8


def prompt(number):
    """Return what one stream and its returns have in common."""
    headers = {"X-Prefix-Hash": f"p{number}:50", "X-Token-Counts": "50,10"}
    return {"headers": headers, "body": f"stream {number}".encode()}


async def list_two_versions(deployment, *, older=2):
    """List the first engines as v1, the others as v2."""
    for engine in deployment.engines[older:]:
        await deployment.set_software(engine, "v2")


async def break_off(deployment, request_id, number, *, entry=0):
    """Begin a stream that breaks off at each engine; return its events."""
    for engine in deployment.engines:
        engine.planned_misbehaviours_.clear()
        engine.planned_misbehaviours_.extend([Misbehaviour.CUT] * 2)
    answer = await deployment.send(
        "/resumed/x",
        request_id=request_id,
        entry=entry,
        **prompt(number),
    )
    assert answer.code == 599
    for engine in deployment.engines:
        engine.planned_misbehaviours_.clear()


def software_of_runs(deployment, request_id):
    """Return the version of each engine that ran a request, in order."""
    runs = [
        (run.at_s, engine.software)
        for engine in deployment.engines
        for run in engine.runs_
        if run.request_id == request_id
    ]
    return [software for _, software in sorted(runs)]


async def take_up(deployment, request_id, number, *, resumes, after, entry=0):
    fields = prompt(number)
    fields["headers"] |= {"Resumes": resumes, "Last-Event-Id": str(after)}
    return await deployment.send(
        "/resumed/x", request_id=request_id, entry=entry, **fields
    )


def test_a_stream_retried_by_its_entry_stays_at_its_software_version():
    # Each stream breaks off twice, beside engines of two versions.
    async def scenario(deployment):
        await list_two_versions(deployment)
        for number in range(STREAMS_COUNT):
            await break_off(deployment, f"r{number}", number)
            first, second = software_of_runs(deployment, f"r{number}")
            assert first == second

    run_scenario(scenario, endpoints=6)


def test_a_stream_taken_up_at_another_entry_stays_at_its_software_version():
    # The caller returns twice, each time to another entry than before.
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment)
        for number in range(STREAMS_COUNT):
            await break_off(deployment, f"r{number}", number)
            began = software_of_runs(deployment, f"r{number}")[0]
            for attempt, after in ((1, 2), (2, 3)):
                answer = await take_up(
                    deployment,
                    f"r{number}.{attempt}",
                    number,
                    resumes=f"r{number}",
                    after=after,
                    entry=attempt,
                )
                assert event_ids(answer.body) == list(range(after + 1, 6))
                assert software_of_runs(deployment, f"r{number}.{attempt}") == [began]

    run_scenario(scenario, endpoints=6, entries=3)
