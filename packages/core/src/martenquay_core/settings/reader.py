"""Read and validate a settings file; report errors with file and line."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import re
from typing import TYPE_CHECKING, Any, TypeVar

import jsonc
import msgspec
from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.settings import structs

if TYPE_CHECKING:
    import pydantic

__all__ = ["SettingsProblem", "describe_problem", "read_settings"]

Model = TypeVar("Model", bound="pydantic.BaseModel | msgspec.Struct")


@dataclasses.dataclass(frozen=True)
class SettingsProblem:
    """One error in a settings file.

    Attributes:
        code: Result code.
        file: Name of the file.
        line: Line number from 1; 0 if the error has none.
        key: Dotted path of the setting; empty for the whole file.
        message: What is wrong and what is allowed.
    """

    code: results.ResultCode
    file: str
    line: int
    key: str
    message: str


def read_settings(
    path: str, model: type[Model]
) -> Result[Model, list[SettingsProblem]]:
    """Read and validate a file; return the settings or all problems."""
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        code = results.ResultCode.SETTINGS_UNREADABLE
        return Error([SettingsProblem(code, path, 0, "", str(error))])
    try:
        content = jsonc.loads(text)
    except json.JSONDecodeError as error:
        code = results.ResultCode.SETTINGS_SYNTAX
        message = f"{error.msg}, column {error.colno}"
        return Error([SettingsProblem(code, path, error.lineno, "", message)])
    except (ValueError, RecursionError) as error:
        # A number with too many digits, or values nested too deeply.
        code = results.ResultCode.SETTINGS_SYNTAX
        return Error([SettingsProblem(code, path, 0, "", str(error))])
    if issubclass(model, msgspec.Struct):
        return structs.check_struct(content, model).map_error(
            lambda problems: [
                _describe(path, text, problem.key_path, problem.message)
                for problem in problems
            ]
        )
    return _check_model(path, text, content, model)


def describe_problem(problem: SettingsProblem) -> str:
    """Format a problem as one line."""
    location = (
        f"{problem.file}:{problem.line}" if problem.line else problem.file
    )
    key = f" {problem.key}:" if problem.key else ""
    return f"{location}:{key} {problem.message} ({problem.code.value})"


def _check_model(
    path: str, text: str, content: Any, model: type[pydantic.BaseModel]
) -> Result[pydantic.BaseModel, list[SettingsProblem]]:
    # Importing pydantic takes 0.1 s, and daemons with msgspec settings need
    # none.
    import pydantic  # noqa: PLC0415

    try:
        return Ok(model.model_validate(content))
    except pydantic.ValidationError as error:
        return Error([_locate(path, text, detail) for detail in error.errors()])


def _locate(path: str, text: str, detail: Any) -> SettingsProblem:
    message = detail["msg"]
    if detail["type"] != "missing" and not isinstance(detail["input"], dict):
        message += f"; found {detail['input']!r}"
    return _describe(path, text, detail["loc"], message)


def _describe(
    path: str, text: str, key_path: tuple[int | str, ...], message: str
) -> SettingsProblem:
    return SettingsProblem(
        results.ResultCode.SETTINGS_INVALID,
        path,
        _find_line(text, key_path),
        ".".join(str(key) for key in key_path),
        message,
    )


def _find_line(text: str, key_path: tuple[int | str, ...]) -> int:
    """Return the line number of a key by searching for its path in the text.

    The JSON library keeps no positions. A key that also occurs in a comment
    may give the comment's line.
    """
    position = 0
    for key in key_path:
        if isinstance(key, int):
            for _ in range(key + 1):
                found = text.find("{", position + 1)
                position = found if found >= 0 else position
            continue
        found = re.search(rf'"{re.escape(key)}"\s*:', text[position:])
        if found:
            position += found.start()
    return text.count("\n", 0, position) + 1 if key_path else 0
