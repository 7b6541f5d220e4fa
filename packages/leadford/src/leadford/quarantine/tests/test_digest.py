"""Repeated requests have the same digest; requests that differ in a field do not."""

import msgspec
import pytest

from leadford.quarantine import RequestContent

CONTENT = RequestContent("POST", "rooms.example", "/reviews/x", "workspace-1", b"body")


def test_the_same_content_has_the_same_digest():
    again = msgspec.structs.replace(CONTENT)
    assert again.digest() == CONTENT.digest()


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/reviews/y"},
        {"target": "/reviews/x?again=1"},
        {"workspace": "workspace-2"},
        {"body": b"body2"},
        {"target": "/reviews/xw", "workspace": "orkspace-1"},
    ],
)
def test_other_content_has_another_digest(change):
    other = msgspec.structs.replace(CONTENT, **change)
    assert other.digest() != CONTENT.digest()
