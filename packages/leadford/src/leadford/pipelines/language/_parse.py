"""Parse a text into a statement, or return the column of the syntax error.

The entry parses the texts of operators with it. The grammar is in `_grammar`, the
statements are in `_statements`. The methods of `_Builder` are named after the rules and
aliases of the grammar.
"""

import msgspec
from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, VisitError
from returns.result import Failure, Result, Success

from leadford.pipelines.language import _statements as s
from leadford.pipelines.language._grammar import GRAMMAR

MAX_STATEMENT_CHARS = 2000
# Expected words that a syntax error lists.
MAX_EXPECTED_COUNT = 12


class SyntaxFault(msgspec.Struct, frozen=True):
    """Describe a syntax error: its column and what was expected there.

    Units: column counts from 1.
    """

    column: int
    expected: tuple[str, ...]
    text: str

    def __str__(self) -> str:
        expected_text = ", ".join(self.expected)
        return f"column {self.column}: expected {expected_text}"


class _WorkspaceTerm(msgspec.Struct, frozen=True):
    """Hold one term of an `add workspace` command."""

    name: str
    value: str | float


class _Builder(Transformer):
    """Build statements from the nodes of a parse tree."""

    def start(self, parts):
        return parts[0]

    def subject(self, parts):
        return s.Subject(parts[0])

    def where(self, parts):
        return tuple(parts)

    def condition(self, parts):
        column, operator, value = parts
        return s.Condition(str(column), s.Comparison(operator), value)

    def limit(self, parts):
        return int(parts[0])

    def number(self, parts):
        return float(parts[0])

    def text(self, parts):
        return str(parts[0]).strip('"')

    def show(self, parts):
        conditions: tuple[s.Condition, ...] = ()
        limit = 0
        for part in parts[1:]:
            if isinstance(part, tuple):
                conditions = part
            elif isinstance(part, int):
                limit = part
        return s.Show(parts[0], conditions, limit=limit)

    def show_cost(self, parts):
        by = "stage"
        conditions: tuple[s.Condition, ...] = ()
        for part in parts:
            if isinstance(part, tuple):
                conditions = part
            elif isinstance(part, Token):
                by = str(part)
        return s.Show(s.Subject.COST, conditions, by)

    def explain(self, parts):
        return s.Explain(str(parts[0]))

    def drain(self, parts):
        return s.Drain(s.Scope(parts[0]), str(parts[1]), True)

    def restore(self, parts):
        return s.Drain(s.Scope(parts[0]), str(parts[1]), False)

    def pipeline_priority(self, parts):
        return s.SetPipelinePriority(str(parts[0]), int(parts[1]))

    def workspace_priority(self, parts):
        return s.SetWorkspacePriority(str(parts[0]), int(parts[1]))

    def share(self, parts):
        return s.SetShare(str(parts[0]), parts[1])

    def minimum(self, parts):
        return s.SetMinimum(str(parts[0]), parts[1])

    def objective(self, parts):
        return s.SetObjective(str(parts[0]))

    def tuning(self, parts):
        return s.SetTuning(str(parts[0]), parts[1])

    def term_share(self, parts):
        return _WorkspaceTerm("share", parts[0])

    def term_minimum(self, parts):
        return _WorkspaceTerm("minimum", parts[0])

    def term_key(self, parts):
        return _WorkspaceTerm("key_hash", str(parts[0]))

    def add_workspace(self, parts):
        terms = {term.name: term.value for term in parts[1:]}
        return s.AddWorkspace(str(parts[0]), **terms)

    def remove_workspace(self, parts):
        return s.RemoveWorkspace(str(parts[0]))

    def add_endpoint(self, parts):
        return s.AddEndpoint(*(str(part) for part in parts))

    def remove_endpoint(self, parts):
        return s.RemoveEndpoint(str(parts[0]))

    def add_stage(self, parts):
        return s.AddStage(*(str(part) for part in parts))

    def remove_stage(self, parts):
        return s.RemoveStage(str(parts[0]), str(parts[1]))

    def pause(self, parts):
        return s.PausePipeline(str(parts[0]), True)

    def resume(self, parts):
        return s.PausePipeline(str(parts[0]), False)

    def load_model(self, parts):
        model, version, pool, copies = parts
        return s.LoadModel(str(model), str(version), str(pool), int(copies))

    def unload_model(self, parts):
        return s.UnloadModel(str(parts[0]))

    def pin_model(self, parts):
        return s.PinModel(str(parts[0]), str(parts[1]))

    def undo(self, parts):
        return s.Undo(int(parts[0]))


_PARSER = Lark(GRAMMAR, parser="earley", lexer="dynamic", maybe_placeholders=False)


def parse(text: str) -> Result[s.Statement, SyntaxFault]:
    """Parse the statement in a text.

    Errors: the column of the first syntax error, and what was expected there.
    """
    if len(text) > MAX_STATEMENT_CHARS:
        expected = (f"at most {MAX_STATEMENT_CHARS} characters",)
        return Failure(SyntaxFault(MAX_STATEMENT_CHARS + 1, expected, ""))
    try:
        return Success(_Builder().transform(_PARSER.parse(text)))
    except UnexpectedInput as error:
        return Failure(_fault(error, text))
    except VisitError as error:
        return Failure(SyntaxFault(1, (str(error.orig_exc),), text))


def _fault(error: UnexpectedInput, text: str) -> SyntaxFault:
    terminal_names = (
        getattr(error, "allowed", None) or getattr(error, "expected", None) or ()
    )
    terminals_by_name = {terminal.name: terminal for terminal in _PARSER.terminals}
    descriptions: set[str] = set()
    for name in terminal_names:
        terminal = terminals_by_name.get(str(name))
        if terminal is None or terminal.name == "WS":
            continue
        is_word = terminal.pattern.type == "str"
        descriptions.add(
            repr(terminal.pattern.value) if is_word else _describe(terminal)
        )
    column = getattr(error, "column", -1)
    if not isinstance(error, UnexpectedCharacters) or column < 1:
        column = len(text.rstrip()) + 1
    expected = tuple(sorted(descriptions))[:MAX_EXPECTED_COUNT] or ("the end",)
    return SyntaxFault(column, expected, text)


def _describe(terminal: object) -> str:
    return terminal.name.lower().replace("_", " ")
