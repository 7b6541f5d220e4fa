"""Compute the answers that stand-ins give, so that a checker can know them too."""

from hashlib import blake2b


def _digest(*parts: str) -> str:
    return blake2b("\x00".join(parts).encode(), digest_size=8).hexdigest()


def expected_result(stage: str, request_text: str) -> str:
    """Return the digest that a service answers for an input."""
    return _digest("service", stage, request_text)


def expected_tokens(model_version: str, prompt: str, count: int) -> list[str]:
    """Return the tokens that an engine generates for a prompt."""
    seed = _digest("engine", model_version, prompt)
    return [f"{_digest(seed, str(index))[:4]} " for index in range(count)]
