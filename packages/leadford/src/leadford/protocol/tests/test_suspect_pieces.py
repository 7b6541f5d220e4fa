"""A piece of a suspect request travels alone where an older build sent it."""

import msgspec

from leadford.protocol import SuspectPieceSubmit, decode, encode

FIELDS = (1, "s", "p", "r", 0, 0, "k", [], 10, 1.0, 1.0, 1.0)


def test_a_suspect_piece_says_whether_it_may_share_a_call():
    for is_once in (True, False):
        message = SuspectPieceSubmit(*FIELDS, is_suspect_once=is_once)
        assert decode(encode(0, [message])).unwrap().messages == [message]


def test_an_older_build_says_nothing_and_its_piece_goes_alone():
    older = [*msgspec.to_builtins(SuspectPieceSubmit(*FIELDS, [], {}))][:-1]
    read = msgspec.convert(older, SuspectPieceSubmit)
    assert read == SuspectPieceSubmit(*FIELDS)
    assert not read.is_suspect_once
