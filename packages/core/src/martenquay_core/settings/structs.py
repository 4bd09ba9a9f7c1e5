"""Check content against a struct and say all that is wrong with it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, TypeVar, get_type_hints

import msgspec
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["StructProblem", "check_struct"]

Wanted = TypeVar("Wanted", bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True)
class StructProblem:
    """One thing that is wrong.

    Attributes:
        place: The keys that lead there.
        message: What is wrong and what is allowed.
    """

    place: tuple[str, ...]
    message: str


def check_struct(
    content: Any, wanted: type[Wanted]
) -> Result[Wanted, list[StructProblem]]:
    """Return the struct, or all problems together.

    msgspec stops at the first problem, so each field is looked at by itself
    once there is one.
    """
    try:
        return Ok(msgspec.convert(content, wanted))
    except msgspec.ValidationError as error:
        found = list(_list_problems(content, wanted, ()))
        return Error(found or [StructProblem((), str(error))])


def _list_problems(
    content: Any, wanted: type[msgspec.Struct], place: tuple[str, ...]
) -> Iterator[StructProblem]:
    if not isinstance(content, dict):
        yield StructProblem(place, f"Expected an object; found {content!r}")
        return
    fields = {field.name: field for field in msgspec.structs.fields(wanted)}
    hints = get_type_hints(wanted, include_extras=True)
    for name in content:
        if name not in fields:
            allowed = ", ".join(fields)
            message = f"There is no such setting; there are {allowed}"
            yield StructProblem((*place, name), message)
    for name, field in fields.items():
        inner = (*place, name)
        if name not in content:
            if field.required:
                yield StructProblem(inner, "Field required")
        elif _is_struct(hints[name]) and content[name] is not None:
            yield from _list_problems(content[name], hints[name], inner)
        else:
            yield from _check_value(content[name], hints[name], inner)


def _check_value(
    value: Any, wanted: Any, place: tuple[str, ...]
) -> Iterator[StructProblem]:
    try:
        msgspec.convert(value, wanted)
    except msgspec.ValidationError as error:
        yield StructProblem(place, f"{error}; found {value!r}")


def _is_struct(wanted: Any) -> bool:
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)
