"""Make every run of the tests draw the same examples."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")
