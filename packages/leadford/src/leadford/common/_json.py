"""Read JSON that others wrote, whatever it holds.

A parser refuses a whole text for one value that is nested too deeply, or for one number
that is too long. A text may hold what several writers wrote, so here only that value
cannot be read.
"""

import json
import math
import re
from itertools import accumulate
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

T = TypeVar("T")

# Values in more lists and objects than this cannot be read. Parsers and what later goes
# through the values call themselves for each level, and fail near 1,000 calls.
MAX_NESTING = 64
# A longer integer cannot be read, since Python refuses to parse very long ones.
MAX_INTEGER_DIGITS = 18
# The text of a number that is read as infinite.
_INFINITE = "1e999"
_STEP_BY_BRACKET = {"[": 1, "{": 1, "]": -1, "}": -1}
# A string, which may hold brackets that nest nothing; the last one may have no end.
_STRING = r'"(?:[^"\\]|\\.)*+"?'
_NO_BRACKETS = re.compile(rf'{_STRING}|[^\[\]{{}}"]+', re.DOTALL)
_TOKENS = re.compile(rf"{_STRING}|[\[\]{{}}]", re.DOTALL)


def parse_json(body: bytes) -> object:
    """Return parsed JSON; a value that cannot be read is infinite instead.

    Errors: raises ValueError if the data is not JSON.
    """
    text = body.decode("utf-8", "replace")
    if text.count("[") + text.count("{") > MAX_NESTING:
        text = _without_deep_values(text)
    return json.loads(text, parse_int=_parse_integer)


def decode_json(data: bytes | str, kind: type[T]) -> Result[T, str]:
    """Return JSON of a type, or why it is not of that type."""
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= MAX_INTEGER_DIGITS else math.inf


def _without_deep_values(text: str) -> str:
    """Return a text whose values that are nested too deeply are infinite numbers."""
    brackets = _NO_BRACKETS.sub("", text)
    depths = accumulate(map(_STEP_BY_BRACKET.__getitem__, brackets))
    if max(depths, default=0) <= MAX_NESTING:
        return text
    kept: list[str] = []
    kept_until = 0
    depth = 0
    for token in _TOKENS.finditer(text):
        step = _STEP_BY_BRACKET.get(token.group(), 0)
        if step > 0 and depth == MAX_NESTING:
            kept += (text[kept_until : token.start()], _INFINITE)
        depth += step
        if step < 0 and depth == MAX_NESTING:
            kept_until = token.end()
    if depth <= MAX_NESTING:
        kept.append(text[kept_until:])
    return "".join(kept)
