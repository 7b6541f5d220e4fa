"""Make every run of the tests draw the same examples."""

# The folder of the adapter has the name of this module, so it must be known first.
import platform  # noqa: F401

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")
