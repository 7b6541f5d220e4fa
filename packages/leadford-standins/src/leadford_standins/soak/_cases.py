"""Keep the seeds of soaks that once failed, each with its cause.

A case names the arguments it failed with. Seeds mean other plans once the tables of
`_plan` change, so the kinds of fault that matter are named, and drawn often.
"""

import msgspec

from leadford_standins.soak._base import SoakOptions


class SoakCase(msgspec.Struct, frozen=True):
    """Hold one soak that failed, and why it did."""

    options: SoakOptions
    cause: str


CUT_AT_THE_END = (
    "A planned stop that found nothing under way waited for the store to remove the "
    "entry; requests that came meanwhile were cut when the process ended."
)

cases: tuple[SoakCase, ...] = (
    SoakCase(SoakOptions(seed=12), CUT_AT_THE_END),
    SoakCase(SoakOptions(seed=3), CUT_AT_THE_END),
    SoakCase(SoakOptions(seed=14), CUT_AT_THE_END),
)
