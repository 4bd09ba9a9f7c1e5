"""Parse a statement of the operators' language, with error positions."""

from __future__ import annotations

import dataclasses
import difflib
import json
from typing import Any

import lark
from expression import Error, Ok, Result

from martenquay_core.config import objects
from martenquay_core.language import statements

__all__ = ["NOUNS", "SyntaxFailure", "parse_statement"]

KINDS = tuple(kind.value for kind in objects.Kind)
NOUNS = (
    "teams",
    "pools",
    "routes",
    "rules",
    "limits",
    "shares",
    "runners",
    "daemons",
    "requests",
    "config",
    "tickets",
)
_BOOLEANS = {"true": True, "false": False}


@dataclasses.dataclass(frozen=True)
class SyntaxFailure:
    """Syntax error in a statement.

    Attributes:
        column: Column of the invalid word, from 1.
        message: What is wrong and what is allowed.
    """

    column: int
    message: str

    def point_at(self, text: str) -> str:
        """Return the statement with a caret below the invalid word."""
        return f"{text}\n{' ' * (self.column - 1)}^ {self.message}"


@dataclasses.dataclass
class _WrongWordError(Exception):
    column: int
    message: str


class _Builder(lark.Transformer):
    """Transforms the parse tree into statements.

    lark calls the method that has the name of a grammar rule.
    """

    def show(self, parts: list[Any]) -> statements.Show:
        noun, name, conditions = parts
        _check_word(noun, NOUNS)
        return statements.Show(str(noun), name, conditions or ())

    def where(self, parts: list[Any]) -> tuple[statements.Condition, ...]:
        return tuple(parts)

    def condition(self, parts: list[Any]) -> statements.Condition:
        return statements.Condition(str(parts[0]), parts[1])

    def why(self, parts: list[Any]) -> statements.Why:
        return statements.Why(str(parts[0]))

    def create(self, parts: list[Any]) -> statements.Create:
        kind, name, *assignments = parts
        _check_fields(kind, assignments)
        fields = tuple(assignment for _, assignment in assignments)
        return statements.Create(str(kind), name, fields)

    def change(self, parts: list[Any]) -> statements.Set:
        kind, name, *assignments, version = parts
        _check_fields(kind, assignments)
        fields = tuple(assignment for _, assignment in assignments)
        return statements.Set(str(kind), name, fields, version)

    def drop(self, parts: list[Any]) -> statements.Drop:
        kind, name, version = parts
        _check_word(kind, KINDS)
        return statements.Drop(str(kind), name, version)

    def guard(self, parts: list[Any]) -> int:
        return int(parts[0])

    def qualified(self, parts: list[Any]) -> statements.Qualified:
        partner, name = parts
        return statements.Qualified(partner and str(partner), str(name))

    def assignment(self, parts: list[Any]) -> Any:
        word, value = parts
        return word, statements.Assignment(str(word), value)

    def number(self, parts: list[Any]) -> float:
        return float(parts[0])

    def integer(self, parts: list[Any]) -> int:
        return int(parts[0])

    def text(self, parts: list[Any]) -> str:
        return json.loads(parts[0])

    def word(self, parts: list[Any]) -> statements.Value:
        return _BOOLEANS.get(str(parts[0]), str(parts[0]))


_PARSER = lark.Lark.open(
    "grammar.lark",
    rel_to=__file__,
    start="statement",
    parser="lalr",
    maybe_placeholders=True,
)


def parse_statement(
    text: str,
) -> Result[statements.Statement, SyntaxFailure]:
    """Parse a statement; return it, or the first syntax error."""
    try:
        return Ok(_Builder().transform(_PARSER.parse(text)))
    except lark.exceptions.VisitError as error:
        cause = error.orig_exc
        if isinstance(cause, _WrongWordError):
            return Error(SyntaxFailure(cause.column, cause.message))
        raise
    except lark.exceptions.UnexpectedEOF:
        return Error(SyntaxFailure(len(text) + 1, "the statement ends early"))
    except lark.exceptions.UnexpectedInput as error:
        return Error(_locate(text, error))


def _locate(text: str, error: lark.exceptions.UnexpectedInput) -> SyntaxFailure:
    names = sorted(_name_terminal(name) for name in _list_expected(error))
    message = "expected " + " or ".join(dict.fromkeys(names))
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        return SyntaxFailure(len(text) + 1, message)
    return SyntaxFailure(max(error.column, 1), message)


def _list_expected(error: lark.exceptions.UnexpectedInput) -> set[str]:
    return set(getattr(error, "accepts", None) or getattr(error, "allowed", ()))


def _name_terminal(name: str) -> str:
    descriptions = {
        "NAME": "a name",
        "$END": "the end",
        "INT": "a whole number",
        "FLOAT": "a number",
        "ESCAPED_STRING": 'a "text"',
        "DIGEST": "a digest",
        "SLASH": "'/'",
        "EQUAL": "'='",
        "IDENTIFIER": "a request id",
    }
    return descriptions.get(name, name.lower())


def _check_word(word: lark.Token, allowed: tuple[str, ...]) -> None:
    if word in allowed:
        return
    close = difflib.get_close_matches(word, allowed, n=1)
    hint = f"; did you mean {close[0]!r}?" if close else ""
    choices = ", ".join(allowed)
    message = f"{str(word)!r} is none of: {choices}{hint}"
    raise _WrongWordError(word.column, message)


def _check_fields(kind: lark.Token, assignments: list[Any]) -> None:
    _check_word(kind, KINDS)
    allowed = tuple(objects.list_fields(objects.Kind(str(kind))))
    for word, _ in assignments:
        _check_word(word, allowed)
