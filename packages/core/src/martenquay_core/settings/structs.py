"""Validate decoded JSON against a msgspec struct and report all errors."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, TypeVar, get_type_hints

import msgspec
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["StructProblem", "check_struct"]

StructType = TypeVar("StructType", bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True)
class StructProblem:
    """One validation error.

    Attributes:
        key_path: Path of the invalid value.
        message: What is wrong and what is allowed.
    """

    key_path: tuple[str, ...]
    message: str


def check_struct(
    content: Any, expected_type: type[StructType]
) -> Result[StructType, list[StructProblem]]:
    """Return the struct, or all problems.

    msgspec stops at the first error, so after one each field is validated
    separately.
    """
    try:
        return Ok(msgspec.convert(content, expected_type))
    except msgspec.ValidationError as error:
        problems = list(_list_problems(content, expected_type, ()))
        return Error(problems or [StructProblem((), str(error))])


def _list_problems(
    content: Any, expected_type: type[msgspec.Struct], key_path: tuple[str, ...]
) -> Iterator[StructProblem]:
    if not isinstance(content, dict):
        yield StructProblem(key_path, f"Expected an object; found {content!r}")
        return
    fields = {
        field.name: field for field in msgspec.structs.fields(expected_type)
    }
    hints = get_type_hints(expected_type, include_extras=True)
    for name in content:
        if name not in fields:
            allowed = ", ".join(fields)
            message = f"There is no such setting; there are {allowed}"
            yield StructProblem((*key_path, name), message)
    for name, field in fields.items():
        field_path = (*key_path, name)
        if name not in content:
            if field.required:
                yield StructProblem(field_path, "Field required")
        elif _is_struct(hints[name]) and content[name] is not None:
            yield from _list_problems(content[name], hints[name], field_path)
        else:
            yield from _check_value(content[name], hints[name], field_path)


def _check_value(
    value: Any, expected_type: Any, key_path: tuple[str, ...]
) -> Iterator[StructProblem]:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        yield StructProblem(key_path, f"{error}; found {value!r}")


def _is_struct(expected_type: Any) -> bool:
    return isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    )
