"""Each check finds a break of its promise, and nothing in correct runs."""

import pytest

from leadford_standins.soak._base import STORE, FaultKind, SoakBounds
from leadford_standins.soak._ledger import (
    Departure,
    Incarnation,
    Ledger,
    ListedEngine,
    Outcome,
    Ran,
    ReadyAnswer,
    Sent,
    Silence,
)
from leadford_standins.soak.checks._base import Evidence, checks, run_checks
from leadford_standins.soak.parts import ConfigSeen
from leadford_standins.wire import Run

KEY = "key-1"
ENTRY = "entry-0"
MOVED_BACK = [
    ConfigSeen(1, 0.0, {"moved": "plain"}, {KEY: "workspace-1"}),
    ConfigSeen(4, 20.0, {"moved": "other", "added-1": "plain"}, {KEY: "workspace-1"}),
]


def answered(route="unsafe", *, at=50.0, status=200, ran=True, **fields):
    """Return the record of a request that ran at an endpoint and was answered."""
    request_id = fields.pop("request_id", "r1")
    path = fields.pop("path", f"/{route}/1")
    sent = Sent(
        request_id=request_id,
        route=route,
        path=path,
        method="POST",
        key=KEY,
        body=b"payload",
        entry=ENTRY,
        incarnation=1,
        sent_at=at,
        timeout_s=4.0,
        asked={"X-Deadline-Ms": "3000", "X-Model": "m", "X-Token-Counts": "1,1"}
        | {"X-Prefix-Hash": "aa:1"},
        outcome=Outcome.WHOLE,
        status=status,
        headers={"X-Attempt-Id": request_id},
        answer=b"",
        ended_at=at + 0.1,
    )
    if ran:
        sent.headers["X-Server-Stamp"] = "stamp.i-1"
        sent.answer = f"i-1 {path} payload".encode()
    for name, value in fields.items():
        setattr(sent, name, value)
    return sent


def ledger_of(*requests, services=("plain",), process=None):
    """Return a ledger in which each request ran at endpoint i-1 of each service."""
    ledger = Ledger()
    ledger.incarnations_.append(process or Incarnation(ENTRY, 1, 0.0))
    for sent in requests:
        ledger.sent_by_id_[sent.request_id] = sent
        runs = [Ran(sent.request_id, "i-1", s, sent.sent_at) for s in services]
        ledger.runs_by_id_[sent.request_id] = runs
        ledger.arrivals_ += runs
    return ledger


def evidence_of(ledger, versions=None):
    names = ("safe", "unsafe", "resumed", "once", "moved")
    everything = dict.fromkeys(names, "plain")
    plain = [ConfigSeen(1, 0.0, everything, {KEY: "workspace-1"})]
    return Evidence(ledger, versions or plain, SoakBounds())


def found_in(ledger, versions=None):
    found = run_checks(evidence_of(ledger, versions), timed=True)
    return {item.promise for item in found}


def run_of(sent, **fields):
    headers = {
        "X-Tenant": "workspace-1",
        "X-Model": "m",
        "X-Token-Counts": "1,1",
        "X-Prefix-Hash": "aa:1",
        "X-Deadline-Ms": "2900",
        **fields,
    }
    return Run(
        sent.request_id, sent.method, sent.path, headers, sent.body, sent.sent_at
    )


def ran_twice():
    return ledger_of(answered(), services=("plain", "plain"))


def refused_but_ran():
    return ledger_of(answered(status=503, headers={}))


def answered_to_another():
    return ledger_of(answered(headers={"X-Attempt-Id": "r9", "X-Server-Stamp": "x"}))


def stream_with_a_gap():
    return ledger_of(answered("resumed", answer=events(1, 2, 4, 5)))


def events(*numbers, request_id="r1", software="v1"):
    return b"".join(
        b"id: %d\ndata: token %d of %s by %s\n\n"
        % (number, number, request_id.encode(), software.encode())
        for number in numbers
    )


def resumed(at=50.0, *, software="v1", first_is_older=False, **fields):
    """Return a ledger of a stream of version v1 that broke off and was resumed."""
    first = answered("resumed", at=at, outcome=Outcome.LEFT, answer=events(1, 2))
    first.detail = "gives up"
    rest = events(3, 4, 5, request_id="r2", software=software)
    following = answered(
        "resumed",
        at=at + 1.0,
        request_id="r2",
        resumes="r1",
        after_event=2,
        answer=rest,
        incarnation=2,
        **fields,
    )
    ledger = ledger_of(first, following, services=("engine",))
    ledger.incarnations_.append(Incarnation(ENTRY, 2, 0.0))
    ledger.incarnations_[0].is_older = first_is_older
    return ledger


def resumed_at_another_version():
    return resumed(software="v2")


def refused_streams(engines=2, count=12):
    """Return a ledger in which all streams begin, and none goes on that is resumed."""
    requests = []
    for number in range(count):
        first_id = f"r{number}"
        requests += [
            answered(
                "resumed",
                request_id=first_id,
                outcome=Outcome.LEFT,
                answer=events(1, 2, request_id=first_id),
            ),
            answered(
                "resumed",
                at=51.0,
                request_id=f"{first_id}+",
                status=503,
                ran=False,
                resumes=first_id,
                after_event=2,
            ),
        ]
    ledger = ledger_of(*requests, services=())
    ledger.engines_ += [
        ListedEngine(f"i-{number}", "v1", 0.0) for number in range(engines)
    ]
    return ledger


def workspace_changed():
    sent = answered()
    ledger = ledger_of(sent)
    ledger.run_records_.append(("i-1", run_of(sent, **{"X-Tenant": "workspace-9"})))
    return ledger


def denied_falsely():
    return ledger_of(answered(status=404, ran=False), services=())


def late_version():
    return ledger_of(answered("moved", at=30.0)), MOVED_BACK


def went_back():
    new = answered("added", path="/added-1/1", request_id="r1", at=21.0)
    old = answered("moved", request_id="r2", at=21.5)
    return ledger_of(new, old), MOVED_BACK


def cut(at=50.0, **fields):
    """Return the record of a request of whose answer only the head arrived."""
    return answered(at=at, outcome=Outcome.CUT, headers={}, **fields)


def closed(process=None, **fields):
    """Return a ledger of a request that ran and got no byte of an answer."""
    return ledger_of(cut(status=0, **fields), process=process)


def closed_stream(**fields):
    """Return a ledger of a stream that was closed after two events of its engine."""
    sent = answered(
        "resumed", outcome=Outcome.CUT, answer=events(1, 2), ended_at=51.2, **fields
    )
    return ledger_of(sent, services=("engine",))


def given_up():
    """Return a ledger of a request that failed though its endpoint worked on it."""
    return ledger_of(answered("safe", status=502, headers={}, ended_at=50.9))


def cut_by_a_stop():
    return ledger_of(cut(), process=Incarnation(ENTRY, 1, 0.0, term_at=48.0))


def cut_in_calm():
    return ledger_of(cut())


def ended_by_itself():
    process = Incarnation(ENTRY, 1, 0.0, ended_at=9.0, status=1)
    return ledger_of(process=process)


def held_too_long():
    return ledger_of(answered(ended_at=56.0))


def sent_to_who_left():
    ledger = ledger_of(answered())
    ledger.departures_.append(Departure("i-1", 40.0))
    return ledger


def repeated_too_often():
    sent = answered("safe")
    ledger = ledger_of(sent)
    ledger.arrivals_ += [Ran("r1", "i-1", "plain", 50.0 + n / 9) for n in range(40)]
    return ledger


def ran_in_three_places():
    ledger = ledger_of(answered("safe"))
    ledger.runs_by_id_["r1"] = [Ran("r1", f"i-{n}", "plain", 50.0) for n in (1, 2, 3)]
    return ledger


def begun_after_leaving():
    ledger = ledger_of(answered("safe", outcome=Outcome.LEFT, ended_at=50.1))
    ledger.arrivals_.append(Ran("r1", "i-2", "plain", 52.0))
    return ledger


def given_more_time():
    sent = answered()
    ledger = ledger_of(sent)
    ledger.run_records_.append(("i-1", run_of(sent, **{"X-Deadline-Ms": "9000"})))
    return ledger


def not_ready_in_calm():
    ledger = ledger_of()
    ledger.ready_answers_.append(ReadyAnswer(ENTRY, 1, 50.0, 50.1, 503))
    return ledger


def not_served_in_calm():
    return ledger_of(answered(status=503, ran=False), services=())


def ended_endpoints(later=4):
    """Return a ledger of a request that ran three times, and `later` times more."""
    moments = [50.0, 50.1, 50.2, *(60.0 + number for number in range(later))]
    copies = [
        answered(at=at, request_id=f"r{number}", body=b"ends")
        for number, at in enumerate(moments)
    ]
    ledger = ledger_of(*copies)
    ledger.ending_bodies_.add(b"ends")
    ledger.run_records_ += [("i-1", run_of(sent)) for sent in copies]
    return ledger


def prompt_requests(at_s, part=None, **fields):
    """Return streams sent at these times, with a part of the prompt if it is given."""
    parts = f"aa:50,{part}:30" if part else "aa:50"
    return [
        answered(
            "once",
            at=at,
            request_id=f"{part}-{number}-{at}",
            asked={
                "X-Deadline-Ms": "3000",
                "X-Model": "m",
                "X-Token-Counts": "1,1",
                "X-Prefix-Hash": f"{parts},{number}:9",
            },
            answer=events(1, 2, 3, 4, 5),
            **fields,
        )
        for number, at in enumerate(at_s)
    ]


def ended_engines(later=4):
    """Return a ledger of six runs at once, and others after the contact time."""
    at_s = [50.0 + number * 0.1 for number in range(6)]
    at_s += [55.0 + number * 0.1 for number in range(later)]
    requests = prompt_requests(at_s, "bad")
    ledger = ledger_of(*requests, services=("engine",))
    ledger.ending_parts_.add("bad")
    ledger.run_records_ += [
        ("i-1", run_of(sent, **{"X-Prefix-Hash": "aa:50,bad:30,1:9"}))
        for sent in requests
    ]
    return ledger


def lost_harmless_streams(served=9):
    """Return a ledger in which some of 20 streams beside a crashing part are served."""
    ledger = ended_engines(later=0)
    last = prompt_requests([70.0], "bad", status=503, ran=False)
    before = prompt_requests([20.0 + n * 0.1 for n in range(20)])
    beside = prompt_requests([59.0 + n * 0.1 for n in range(20)])
    for sent in beside[served:]:
        sent.status = 503
    for sent in (*last, *before, *beside):
        ledger.sent_by_id_[sent.request_id] = sent
    return ledger


# For each promise, a function that makes a ledger that breaks it.
BREAKING = {
    "a request that an endpoint got is answered": closed,
    "a stream is not closed while a sound engine sends it": closed_stream,
    "a request is not given up while a sound endpoint runs it": given_up,
    "a request that ends its endpoints is soon sent to none": ended_endpoints,
    "a prompt part that ends its engines is soon sent to none": ended_engines,
    "harmless streams are served beside a part that ends engines": (
        lost_harmless_streams
    ),
    "an entry is ready in calm and not once it stops": not_ready_in_calm,
    "calm serves what every configuration allows": not_served_in_calm,
    "runs at most once": ran_twice,
    "refused means not run": refused_but_ran,
    "an answer is whole, signed and of its request": answered_to_another,
    "a stream is in order and whole": stream_with_a_gap,
    "a stream stays at one software version": resumed_at_another_version,
    "resumed streams go on": refused_streams,
    "requests reach endpoints unaltered": workspace_changed,
    "nothing is done that no configuration allows": denied_falsely,
    "a configuration is in force in time": late_version,
    "a process never goes back to an older configuration": went_back,
    "a planned stop cuts nothing that was passed on": cut_by_a_stop,
    "calm cuts nothing": cut_in_calm,
    "a process ends only when it is told to": ended_by_itself,
    "a request ends by its route's time": held_too_long,
    "nothing new goes to an endpoint that leaves": sent_to_who_left,
    "repeats stay within their budget": repeated_too_often,
    "a request goes to no more endpoints than its route allows": ran_in_three_places,
    "what a caller left is not begun": begun_after_leaving,
    "an endpoint is given no more time than is left": given_more_time,
}


@pytest.mark.parametrize("check", checks, ids=lambda check: check.promise)
def test_each_check_finds_a_broken_promise(check):
    case = BREAKING[check.promise]()
    ledger, versions = case if isinstance(case, tuple) else (case, None)
    assert check.promise in found_in(ledger, versions)


def test_a_request_that_went_well_breaks_nothing():
    sent = answered()
    ledger = ledger_of(sent)
    ledger.run_records_.append(("i-1", run_of(sent)))
    assert found_in(ledger) == set()


def test_a_stream_that_goes_on_at_its_version_breaks_nothing():
    promise = "a stream stays at one software version"
    assert promise not in found_in(resumed())
    assert promise in found_in(resumed(software="v2", first_is_older=True))


def test_a_stream_that_began_at_the_replaced_build_may_be_refused_in_calm():
    promise = "calm serves what every configuration allows"
    assert promise in found_in(resumed(status=503))
    assert promise not in found_in(resumed(status=503, first_is_older=True))


def test_streams_that_cannot_go_on_are_not_expected_to():
    promise = "resumed streams go on"
    assert promise not in found_in(refused_streams(engines=1))
    assert promise not in found_in(refused_streams(count=11))
    left = refused_streams()
    left.departures_.append(Departure("i-1", 50.0))
    assert promise not in found_in(left)


@pytest.mark.parametrize(
    "make",
    [
        refused_streams,
        late_version,
        held_too_long,
        cut_in_calm,
        sent_to_who_left,
        not_ready_in_calm,
        not_served_in_calm,
    ],
)
@pytest.mark.parametrize("scope", [ENTRY, STORE])
def test_nobody_out_of_touch_is_held_to_the_clock(make, scope):
    case = make()
    ledger, versions = case if isinstance(case, tuple) else (case, None)
    ledger.disturb(scope, FaultKind.STORE_BUSY, 25.0, 60.0)
    assert found_in(ledger, versions) == set()


@pytest.mark.parametrize(
    ("scope", "kind", "is_excused"),
    [
        (ENTRY, FaultKind.ENTRY_PAUSED, True),
        ("i-1", FaultKind.ENDPOINT_CRASHED, True),
        (ENTRY, FaultKind.STORE_LINK_SILENT, False),
        (STORE, FaultKind.STORE_SILENT, False),
    ],
)
def test_what_excuses_a_cut_in_a_planned_stop(scope, kind, is_excused):
    ledger = cut_by_a_stop()
    ledger.disturb(scope, kind, 49.0, 50.0)
    assert (found_in(ledger) == set()) is is_excused


@pytest.mark.parametrize(
    ("process", "is_broken"),
    [
        (Incarnation(ENTRY, 1, 0.0), True),
        (Incarnation(ENTRY, 1, 0.0, term_at=48.0), True),
        # Sent late in the grace period; its end, a kill, and another build.
        (Incarnation(ENTRY, 1, 0.0, term_at=43.4), True),
        (Incarnation(ENTRY, 1, 0.0, term_at=42.0), False),
        (Incarnation(ENTRY, 1, 0.0, was_killed=True), False),
        (Incarnation(ENTRY, 1, 0.0, is_older=True), False),
    ],
)
@pytest.mark.parametrize(
    ("scope", "kind"),
    [
        (ENTRY, FaultKind.STORE_LINK_SILENT),
        ("i-1", FaultKind.ENDPOINT_CRASHED),
        (STORE, FaultKind.STORE_SILENT),
    ],
)
def test_no_fault_excuses_that_a_request_gets_no_answer(
    process, is_broken, scope, kind
):
    ledger = closed(process)
    ledger.disturb(scope, kind, 49.0, 50.0)
    promise = "a request that an endpoint got is answered"
    assert (promise in found_in(ledger)) is is_broken


def test_a_request_that_reached_no_endpoint_may_find_its_connection_closed():
    ledger = closed(ended_at=50.01)
    ledger.runs_by_id_.clear()
    ledger.arrivals_.clear()
    assert "a request that an endpoint got is answered" not in found_in(ledger)


@pytest.mark.parametrize(("status", "is_broken"), [(200, True), (503, False)])
def test_an_entry_that_stops_is_not_ready(status, is_broken):
    ledger = ledger_of(process=Incarnation(ENTRY, 1, 0.0, term_at=49.0))
    ledger.disturb(ENTRY, FaultKind.ENTRY_STOPPED, 49.0, 60.0, is_planned=True)
    ledger.ready_answers_.append(ReadyAnswer(ENTRY, 1, 50.0, 50.1, status))
    assert bool(found_in(ledger)) is is_broken


@pytest.mark.parametrize(("work_ms", "is_broken"), [("1000", True), ("2900", False)])
def test_only_work_that_fits_into_its_time_must_be_served(work_ms, is_broken):
    sent = answered(status=504, ran=False)
    sent.asked["X-Work-Ms"] = work_ms
    assert bool(found_in(ledger_of(sent, services=()))) is is_broken


@pytest.mark.parametrize("has_served", [True, False])
def test_a_signal_may_end_a_process_that_nobody_has_reached_yet(has_served):
    told = {"term_at": 8.9, "ended_at": 9.0, "status": -15}
    process = Incarnation(ENTRY, 1, 8.0, **told)
    requests = [answered(at=8.5)] if has_served else []
    found = found_in(ledger_of(*requests, process=process))
    assert bool(found) is has_served


def test_what_runs_on_past_the_grace_period_may_be_cut():
    process = Incarnation(ENTRY, 1, 0.0, term_at=48.0)
    sent = cut(at=50.0, ended_at=55.4)
    sent.asked["X-Deadline-Ms"] = "9000"
    sent.timeout_s = 9.0
    assert found_in(ledger_of(sent, process=process)) == set()


@pytest.mark.parametrize(("later", "is_broken"), [(3, False), (4, True)])
def test_a_request_that_ended_three_endpoints_may_run_three_times_more(
    later, is_broken
):
    ledger = ended_endpoints(later)
    promise = "a request that ends its endpoints is soon sent to none"
    assert (promise in found_in(ledger)) is is_broken


@pytest.mark.parametrize(("later", "is_broken"), [(0, False), (3, False), (4, True)])
def test_a_part_may_end_engines_three_times_after_it_must_be_known(later, is_broken):
    promise = "a prompt part that ends its engines is soon sent to none"
    assert (promise in found_in(ended_engines(later))) is is_broken


@pytest.mark.parametrize(("served", "is_broken"), [(9, True), (10, False), (20, False)])
def test_harmless_streams_must_be_served_half_as_often_as_before(served, is_broken):
    promise = "harmless streams are served beside a part that ends engines"
    assert (promise in found_in(lost_harmless_streams(served))) is is_broken


SOUND_PROMISES = {
    closed_stream: "a stream is not closed while a sound engine sends it",
    given_up: "a request is not given up while a sound endpoint runs it",
}
# By its scope and its kind.
TROUBLES = [
    (ENTRY, FaultKind.STORE_LINK_SILENT),
    (ENTRY, FaultKind.PEER_LINK_CUT),
    (ENTRY, FaultKind.ENTRY_PAUSED),
    (STORE, FaultKind.STORE_SILENT),
    ("i-2", FaultKind.ENDPOINT_CRASHED),
]


@pytest.mark.parametrize("make", SOUND_PROMISES)
@pytest.mark.parametrize(("scope", "kind"), TROUBLES)
def test_no_trouble_elsewhere_excuses_that_a_sound_endpoint_is_given_up(
    make, scope, kind
):
    ledger = make()
    ledger.disturb(scope, kind, 49.0, 52.0)
    assert SOUND_PROMISES[make] in found_in(ledger)


@pytest.mark.parametrize("make", SOUND_PROMISES)
def test_silence_of_a_sound_endpoint_excuses_nothing(make):
    ledger = make()
    ledger.silences_.append(Silence("i-1", "plain", 50.1, 51.3))
    assert SOUND_PROMISES[make] in found_in(ledger)


@pytest.mark.parametrize("make", SOUND_PROMISES)
@pytest.mark.parametrize(("until", "is_broken"), [(49.4, True), (49.6, False)])
def test_an_endpoint_is_not_sound_beside_its_own_trouble(make, until, is_broken):
    ledger = make()
    ledger.disturb("i-1", FaultKind.ENDPOINT_LINK_RESET, 49.0, until)
    assert (SOUND_PROMISES[make] in found_in(ledger)) is is_broken


@pytest.mark.parametrize("make", SOUND_PROMISES)
def test_an_endpoint_that_misbehaves_is_not_sound(make):
    ledger = make()
    ledger.misbehaved_by_run_["r1", "i-1"] = "cut"
    assert SOUND_PROMISES[make] not in found_in(ledger)


@pytest.mark.parametrize("make", SOUND_PROMISES)
def test_a_request_whose_time_is_over_may_be_given_up(make):
    ledger = make()
    ledger.sent_by_id_["r1"].ended_at = 52.9
    assert SOUND_PROMISES[make] not in found_in(ledger)


@pytest.mark.parametrize(
    ("process", "is_broken"),
    [
        (Incarnation(ENTRY, 1, 0.0, term_at=48.0), True),
        (Incarnation(ENTRY, 1, 0.0, term_at=42.0), False),
        (Incarnation(ENTRY, 1, 0.0, was_killed=True), False),
        (Incarnation(ENTRY, 1, 0.0, is_older=True), False),
    ],
)
@pytest.mark.parametrize("make", SOUND_PROMISES)
def test_only_the_end_of_a_process_ends_what_a_sound_endpoint_runs(
    make, process, is_broken
):
    ledger = make()
    ledger.incarnations_ = [process]
    assert (SOUND_PROMISES[make] in found_in(ledger)) is is_broken


@pytest.mark.parametrize(("silent_s", "is_broken"), [(1.0, True), (1.4, False)])
def test_a_silence_counts_as_work_only_while_it_lasts(silent_s, is_broken):
    sent = answered(status=504, ran=False)
    sent.asked["X-Work-Ms"] = "1300"
    ledger = ledger_of(sent, services=())
    # Two at once count once.
    for endpoint in ("i-1", "i-2"):
        silence = Silence(endpoint, "plain", 50.2, 50.2 + silent_s)
        ledger.silences_.append(silence)
    promise = "calm serves what every configuration allows"
    assert (promise in found_in(ledger)) is is_broken
