"""Ask and command a fleet from the command line."""

from leadford_cli.operators._client import OperatorClient, OperatorError
from leadford_cli.operators._output import format_answer
from leadford_cli.operators._prompt import run_prompt

__all__ = ["OperatorClient", "OperatorError", "format_answer", "run_prompt"]
