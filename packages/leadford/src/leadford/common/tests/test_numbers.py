"""Numbers in text are parsed strictly; any other text gives None."""

import pytest

from leadford.common import parse_amount, parse_count


@pytest.mark.parametrize(
    "text", [None, "", "x", "-1", "nan", "inf", "1e999", "9" * 5000]
)
def test_what_is_no_number_from_zero_on_is_none(text):
    assert parse_amount(text) is None
    assert parse_count(text) is None


def test_numbers_are_read():
    assert (parse_amount("1.5"), parse_amount(" 0 ")) == (1.5, 0.0)
    assert (parse_count("12"), parse_count(" 3 ")) == (12, 3)
    assert parse_count("1.5") is None
