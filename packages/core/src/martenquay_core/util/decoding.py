"""Decode bytes of other programs with one kind of error."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["decode_json", "decode_msgpack", "decode_with"]

Content = TypeVar("Content")


def decode_json(raw: bytes, content_type: type[Content]) -> Content:
    """Return the value that JSON holds.

    Raises:
        msgspec.DecodeError: The bytes hold no such value.
    """
    return decode_with(
        lambda raw: msgspec.json.decode(raw, type=content_type), raw
    )


def decode_msgpack(raw: bytes, content_type: type[Content]) -> Content:
    """Return the value that msgpack holds.

    Raises:
        msgspec.DecodeError: The bytes hold no such value.
    """
    return decode_with(
        lambda raw: msgspec.msgpack.decode(raw, type=content_type), raw
    )


def decode_with(decode: Callable[[bytes], Content], raw: bytes) -> Content:
    """Return what a decoder of msgspec finds.

    Such a decoder raises RecursionError for values that are nested deeper than
    Python's recursion limit, also in fields that it skips.

    Raises:
        msgspec.DecodeError: The bytes hold no such value.
    """
    try:
        return decode(raw)
    except msgspec.DecodeError:
        raise
    except (ValueError, OverflowError, RecursionError) as error:
        raise msgspec.DecodeError(f"{type(error).__name__}: {error}") from error
