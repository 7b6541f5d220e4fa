"""Hold what a prompt is made of, and what an engine keeps of those that it read.

Prompts come in parts, of which all but the last are shared with other prompts. An
engine need not read again what it keeps from the start of a prompt; what that is can
only be guessed from what was sent there, by the part that was used last. Read by the
choice of engines in `_engines`; nothing here decides.
"""

from collections import OrderedDict

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """Hold one part of a prompt.

    Units: tokens.
    """

    part_id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """Hold the parts of a prompt in order, and its length.

    Units: tokens_in is the whole prompt, the parts included.
    """

    parts: tuple[PromptPart, ...]
    tokens_in: int

    @property
    def own_part(self) -> str:
        """Return the id of the part that tells the prompt from others."""
        return self.parts[-1].part_id if self.parts else ""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts have too: all but the last one.

        The last part is of the request itself, or of its session; a prompt of one
        part is taken to share it.
        """
        return self.parts[:-1] if len(self.parts) > 1 else self.parts

    @property
    def pool_key(self) -> str:
        """Return the part by which prompts are split over pools; empty without any."""
        return self.shared[-1].part_id if self.shared else ""

    @property
    def shared_tokens(self) -> int:
        """Return the length of the shared parts."""
        return sum(part.tokens for part in self.shared)


class CachedParts:
    """Remember the parts that an engine read last, up to its memory."""

    def __init__(self) -> None:
        self.tokens_by_part_: OrderedDict[str, int] = OrderedDict()
        self.total_tokens_ = 0

    def touch(self, part: PromptPart, max_tokens: float) -> None:
        """Remember a part as read last, and drop the oldest beyond `limit` tokens."""
        known = self.tokens_by_part_.pop(part.part_id, 0)
        self.tokens_by_part_[part.part_id] = part.tokens
        self.total_tokens_ += part.tokens - known
        while self.total_tokens_ > max_tokens and len(self.tokens_by_part_) > 1:
            _, tokens = self.tokens_by_part_.popitem(last=False)
            self.total_tokens_ -= tokens

    def cached_tokens(self, shape: PromptShape) -> int:
        """Return how many tokens at the start of a prompt are kept."""
        total = 0
        for part in shape.parts:
            if part.part_id not in self.tokens_by_part_:
                break
            total += part.tokens
        return total
