"""Keep the options of soaks that failed, each with the cause of the failure.

A change of the tables in `_plan` changes the plan of a seed, so cases name the kinds of
fault that matter and draw them often.
"""

import msgspec

from leadford_standins.soak._base import SoakOptions


class SoakCase(msgspec.Struct, frozen=True):
    """Hold the options of a soak that failed, and the cause."""

    options: SoakOptions
    cause: str


CUT_AT_THE_END = (
    "A planned stop that found nothing under way waited for the store to remove the "
    "entry; requests that came meanwhile were cut when the process ended."
)
CUT_FOR_WANT_OF_TIME = (
    "A planned stop takes plain requests until 6 s after SIGTERM and ends at 7.4 s: "
    "those whose endpoint works longer are cut, also safe ones begun again as slow."
)
LOST_AS_SLOW = (
    "A safe request was broken off as slow and begun again elsewhere, where its time "
    "did not suffice; its first endpoint would have answered in time."
)
ENDED_BY_HUP = (
    "SIGHUP within half a second of its start ended an entry, which had not yet said "
    "what it does with that signal."
)
STOPS_ONLY = ("entry-stopped",)

ENDS_ENDPOINTS = (
    "Nothing remembered under which request endpoints had ended, so each copy that a "
    "caller sent again went to endpoints, at any entry."
)

cases: tuple[SoakCase, ...] = (
    SoakCase(SoakOptions(seed=12), CUT_AT_THE_END),
    SoakCase(SoakOptions(seed=3), CUT_AT_THE_END),
    SoakCase(SoakOptions(seed=14), CUT_AT_THE_END),
    SoakCase(SoakOptions(seed=303, faults_per_s=2.0), CUT_FOR_WANT_OF_TIME),
    SoakCase(
        SoakOptions(seed=802, faults_per_s=0.4, long_part=0.5, only=STOPS_ONLY),
        CUT_FOR_WANT_OF_TIME,
    ),
    SoakCase(
        SoakOptions(
            seed=803, faults_per_s=0.4, long_part=0.5, long_work_s=2.8, only=STOPS_ONLY
        ),
        CUT_FOR_WANT_OF_TIME,
    ),
    SoakCase(
        SoakOptions(
            seed=117,
            seconds=12.0,
            faults_per_s=4.0,
            only=("entry-killed", "entry-reloaded"),
        ),
        ENDED_BY_HUP,
    ),
    SoakCase(
        SoakOptions(seed=402, seconds=30.0, faults_per_s=0.15, changes_per_s=0.8),
        LOST_AS_SLOW,
    ),
    SoakCase(
        SoakOptions(
            seed=5002,
            endpoints=4,
            faults_per_s=1e-4,
            changes_per_s=1e-4,
            ending_per_s=0.15,
        ),
        ENDS_ENDPOINTS,
    ),
)
