"""Describe errors in the fields of events; the tracebacks are not logged."""

# Length to which the text of an error is cut.
ERROR_CHARS_MAX = 300


def error_text(error: BaseException) -> str:
    """Return the type and the message of an error, cut to a bounded length."""
    return f"{type(error).__name__}: {error}"[:ERROR_CHARS_MAX]
