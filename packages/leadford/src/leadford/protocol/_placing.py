"""Messages by which one entry chooses the engines for the prompts of all."""

from leadford.protocol._base import MessageBase


class PromptPartReport(MessageBase):
    """Name one part of a prompt, and its tokens."""

    part_id: str
    tokens: int


class PlaceRequest(MessageBase, tag=46):
    """Ask for the engine of a prompt that is sent now."""

    ask_id: int
    service_id: str
    tokens_in: int
    parts: list[PromptPartReport]
    excluded: list[str] = []
    bytes_by_hall: dict[str, int] = {}


class PlaceAnswer(MessageBase, tag=47):
    """Say which engine a prompt goes to; empty if there is none."""

    ask_id: int
    endpoint_id: str


class PromptRead(MessageBase, tag=48):
    """Tell that a prompt has been read, or is not sent where it was placed."""

    ask_id: int
