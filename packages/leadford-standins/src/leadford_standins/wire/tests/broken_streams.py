"""Break streams off, and resume them as their callers."""

from leadford_standins.wire import Misbehaviour, event_ids

# Streams that one test breaks off, each with a prompt of its own.
STREAMS_COUNT = 8


def prompt(number, *, key=None):
    """Return what one stream and its returns have in common."""
    headers = {"X-Prefix-Hash": f"p{number}:50", "X-Token-Counts": "50,10"}
    if key is not None:
        headers["X-Piece-Key"] = key
    return {"headers": headers, "body": f"stream {number}".encode()}


async def list_two_versions(deployment, *, older=2):
    """List the first engines as v1, the others as v2."""
    for engine in deployment.engines[older:]:
        await deployment.set_software(engine, "v2")


async def break_off(deployment, request_id, number, *, entry=0, key=None, **fields):
    """Begin a stream that breaks off at each engine that runs it."""
    for engine in deployment.engines:
        engine.planned_misbehaviours_.clear()
        engine.planned_misbehaviours_.extend([Misbehaviour.CUT] * 2)
    answer = await deployment.send(
        "/resumed/x",
        request_id=request_id,
        entry=entry,
        **prompt(number, key=key),
        **fields,
    )
    assert answer.code == 599
    for engine in deployment.engines:
        engine.planned_misbehaviours_.clear()


def software_of_runs(engines, request_id):
    """Return the version of each engine that ran a request, in order."""
    runs = [
        (run.at_s, engine.software)
        for engine in engines
        for run in engine.runs_
        if run.request_id == request_id
    ]
    return [software for _, software in sorted(runs)]


async def resume(deployment, request_id, number, *, resumes, after, entry=0):
    fields = prompt(number)
    fields["headers"] |= {"Resumes": resumes, "Last-Event-Id": str(after)}
    return await deployment.send(
        "/resumed/x", request_id=request_id, entry=entry, **fields
    )


async def begin_streams(deployment, *, entry=0, **fields):
    """Break streams off at an entry; return the version that began each."""
    for number in range(STREAMS_COUNT):
        await break_off(deployment, f"r{number}", number, entry=entry, **fields)
    return [
        software_of_runs(deployment.engines, f"r{number}")[0]
        for number in range(STREAMS_COUNT)
    ]


async def resume_all(deployment, *, entry):
    """Resume each stream at an entry; return the versions they went on at."""
    found = []
    for number in range(STREAMS_COUNT):
        request_id = f"r{number}.{entry}"
        answer = await resume(
            deployment, request_id, number, resumes=f"r{number}", after=2, entry=entry
        )
        assert answer.code == 200
        assert event_ids(answer.body) == [3, 4, 5]
        found += software_of_runs(deployment.engines, request_id)
    return found
