"""Tell the answer to a call for pieces from one that came on its connection before.

Answers to calls carry no id, and an answer may come once more where the next one is
due. Handles of results are never given twice, so an answer with one that is known is
not the answer to this call. One without any handle could be of any call. After either,
the answers of the connection can no longer be told apart, and it must be closed.
"""

from collections import deque
from collections.abc import Iterable

from leadford.forwarding.routes import ResultHandle

# Answers of one connection whose handles are kept. A repeated answer comes where the
# next one is due, or the one after an answer that releases results.
KEPT_ANSWERS = 8


class GivenHandles:
    """Hold the handles that the last answers of one connection gave."""

    def __init__(self) -> None:
        self.last_: deque[frozenset[ResultHandle]] = deque(maxlen=KEPT_ANSWERS)

    def is_repeated(self, handles: Iterable[ResultHandle]) -> bool:
        """Return whether an earlier answer gave one of the handles; record them."""
        given = frozenset(handles)
        is_known = any(given & earlier for earlier in self.last_)
        self.last_.append(given)
        return is_known


def read_handle(value: object) -> ResultHandle | None:
    """Return the handle of a result in an answer, None if there is none.

    Errors: raises TypeError or ValueError for what a header cannot carry.
    """
    if value is None:
        return None
    if not isinstance(value, str):
        raise TypeError("the handle of a result is no text")
    if not (value and value.isascii() and value.isprintable()):
        raise ValueError("the handle of a result has characters that no header carries")
    return ResultHandle(value)
