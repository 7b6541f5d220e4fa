"""Describe the parts of a prompt, and the parts that an engine is assumed to cache.

A prompt consists of parts, of which all but the last are shared with other prompts. An
engine needs no prefill for the cached parts at the start of a prompt. Its cache can
only be estimated from the prompts that were sent there, with the least recently used
part evicted first. `_engines` uses these estimates to choose engines; this module
decides nothing.
"""

from collections import OrderedDict

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """Describe one part of a prompt.

    Units: tokens.
    """

    part_id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """Describe the parts of a prompt in order, and its total length.

    Units: tokens_in is the length of the whole prompt in tokens, including the parts.
    """

    parts: tuple[PromptPart, ...]
    tokens_in: int

    @property
    def last_part_id(self) -> str:
        """Return the id of the last part, which tells the prompt from others."""
        return self.parts[-1].part_id if self.parts else ""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts have too: all but the last one.

        The last part belongs to the request itself or to its session. The only part
        of a prompt counts as shared.
        """
        return self.parts[:-1] if len(self.parts) > 1 else self.parts

    @property
    def pool_key(self) -> str:
        """Return the id of the part that selects the pool, empty if there is none."""
        return self.shared[-1].part_id if self.shared else ""

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in the shared parts."""
        return sum(part.tokens for part in self.shared)


class CachedParts:
    """Track the most recently used parts of an engine, up to a number of tokens."""

    def __init__(self) -> None:
        self.tokens_by_part_: OrderedDict[str, int] = OrderedDict()
        self.total_tokens_ = 0

    def touch(self, part: PromptPart, max_tokens: float) -> None:
        """Mark a part as used last; evict the oldest parts beyond `max_tokens`."""
        known = self.tokens_by_part_.pop(part.part_id, 0)
        self.tokens_by_part_[part.part_id] = part.tokens
        self.total_tokens_ += part.tokens - known
        while self.total_tokens_ > max_tokens and len(self.tokens_by_part_) > 1:
            _, tokens = self.tokens_by_part_.popitem(last=False)
            self.total_tokens_ -= tokens

    def cached_tokens(self, shape: PromptShape) -> int:
        """Return how many tokens at the start of a prompt are cached."""
        total = 0
        for part in shape.parts:
            if part.part_id not in self.tokens_by_part_:
                break
            total += part.tokens
        return total
