"""Messages by which one entry chooses the engines for the prompts of all entries."""

from leadford.protocol._base import MessageBase


class PromptPartReport(MessageBase):
    """Name one part of a prompt, and its number of tokens."""

    part_id: str
    tokens: int


class PlaceRequest(MessageBase, tag=46):
    """Ask which engine to send a prompt to now."""

    ask_id: int
    service_id: str
    tokens_in: int
    parts: list[PromptPartReport]
    excluded: list[str] = []
    bytes_by_hall: dict[str, int] = {}


class PlaceAnswer(MessageBase, tag=47):
    """Answer with the engine for a prompt; the id is empty if there is none."""

    ask_id: int
    endpoint_id: str


class PromptRead(MessageBase, tag=48):
    """Report that a prompt has been read, or is not sent to the chosen engine."""

    ask_id: int
