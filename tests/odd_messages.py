"""Draw messages between daemons that are valid but hold odd values."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from msgspec import inspect

from martenquay_daemon.fleet import messages

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

__all__ = ["draw_message"]

_ODD_PART = 0.3
_MAX_ITEMS = 3
# The widest integers of msgpack.
_ODD_INTS = (-1, 2**31, 2**53, 2**63 - 1, 2**64 - 1, -(2**63))
_ODD_FLOATS = (math.nan, math.inf, -math.inf, -1.0, 1e308, -1e308, 5e-324)
_ODD_TEXTS = (
    "",
    "\x00",
    "no address",
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "[::1]:7000",
    "é" * 300,
)
_ODD_BYTES = (b"", b"\x00" * 9, b"[" * 5000, b"\x91" * 5000, b"\x81" * 5000)
_TEXTS = (
    "entry-0",
    "entry-0.aa",
    "entry-9",
    "entry-9.bb",
    "a",
    "b",
    "model",
    "runner-8",
    "acme",
    "127.0.0.1:1",
)
_INTS = (0, 1, 2, 3, 100, 3000)
_FLOATS = (0.0, 0.5, 1.0, 25.0)


def draw_message(rng: random.Random) -> bytes:
    """Return the bytes of a message, of any kind, that can be decoded."""
    kinds = inspect.type_info(messages.FleetMessage).types
    return messages.encode_message(_draw(rng, rng.choice(kinds)))


def _draw(rng: random.Random, kind: inspect.Type) -> Any:
    match kind:
        case inspect.StructType(cls=cls, fields=fields):
            values = {f.name: _draw(rng, f.type) for f in fields}
            return cls(**values)
        case inspect.UnionType(types=types):
            return _draw(rng, rng.choice(types))
        case inspect.DictType(key_type=key, value_type=value):
            return _draw_items(
                rng, lambda: (_draw(rng, key), _draw(rng, value)), dict
            )
        case inspect.ListType(item_type=item):
            return _draw_items(rng, lambda: _draw(rng, item), list)
        case inspect.TupleType(item_types=items):
            return tuple(_draw(rng, item) for item in items)
        case inspect.EnumType(cls=cls):
            return rng.choice(list(cls))
        case inspect.NoneType():
            return None
        case inspect.BoolType():
            return rng.random() < _ODD_PART
    return _draw_scalar(rng, kind)


def _draw_scalar(rng: random.Random, kind: inspect.Type) -> Any:
    is_odd = rng.random() < _ODD_PART
    match kind:
        case inspect.IntType():
            return rng.choice(_ODD_INTS if is_odd else _INTS)
        case inspect.FloatType():
            return rng.choice(_ODD_FLOATS if is_odd else _FLOATS)
        case inspect.StrType():
            return rng.choice(_ODD_TEXTS if is_odd else _TEXTS)
        case inspect.BytesType():
            return rng.choice(_ODD_BYTES)
    raise NotImplementedError(f"no values for {kind}")


def _draw_items(
    rng: random.Random,
    draw: Callable[[], Any],
    collect: Callable[[list[Any]], Any],
) -> Any:
    return collect([draw() for _ in range(rng.randrange(_MAX_ITEMS))])
