"""Read statements at a prompt with history."""

from collections.abc import Callable

from prompt_toolkit import PromptSession
from prompt_toolkit.history import InMemoryHistory

LEAVE = ("exit", "quit")


def run_prompt(run: Callable[[str], str]) -> int:
    """Run statements until the end of input."""
    session: PromptSession[str] = PromptSession("leadford> ", history=InMemoryHistory())
    while True:
        try:
            text = session.prompt().strip()
        except (EOFError, KeyboardInterrupt):
            return 0
        if text in LEAVE:
            return 0
        if text:
            print(run(text))
