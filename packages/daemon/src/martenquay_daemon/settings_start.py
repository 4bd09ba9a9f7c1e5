"""Read the settings at the start, while the file may be being written."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, TypeVar

from martenquay_core import results
from martenquay_core.settings import reader

if TYPE_CHECKING:
    import msgspec
    import pydantic
    from expression import Result

    from martenquay_core.util import held_signals

__all__ = ["read_when_written"]

Model = TypeVar("Model", bound="pydantic.BaseModel | msgspec.Struct")

# The default grace time: a process that writes the file for longer than that
# after it was told to stop is killed.
_WAIT_S = 8.0
_INTERVAL_S = 0.05
# Codes of a file that is missing, empty or incomplete.
_INCOMPLETE = frozenset(
    {
        results.ResultCode.SETTINGS_UNREADABLE,
        results.ResultCode.SETTINGS_SYNTAX,
    }
)


def read_when_written(
    path: str,
    model: type[Model],
    held: held_signals.HeldSignals,
    wait_s: float = _WAIT_S,
) -> Result[Model, list[reader.SettingsProblem]] | None:
    """Read the settings; wait while the file is missing or incomplete.

    A complete file with invalid settings is reported at once.

    Args:
        path: The settings file.
        model: Type of the settings.
        held: Signals that arrived since the process was started.
        wait_s: Seconds after which an incomplete file is an error.

    Returns:
        The settings or all problems; None if a stop signal arrived while
        waiting.
    """
    started_at = time.monotonic()
    is_waiting = False
    while True:
        result = reader.read_settings(path, model)
        waited_s = time.monotonic() - started_at
        if result.is_ok() or not _is_incomplete(result.error):
            break
        if held.has_stop():
            print("Stopped before the settings were read.", file=sys.stderr)
            return None
        if waited_s >= wait_s:
            break
        if not is_waiting:
            is_waiting = True
            print(
                f"{reader.describe_problem(result.error[0])}; "
                f"reading again for {wait_s:g} s",
                file=sys.stderr,
                flush=True,
            )
        time.sleep(_INTERVAL_S)
    if is_waiting and result.is_ok():
        print(f"Read the settings after {waited_s:.2f} s.", file=sys.stderr)
    return result


def _is_incomplete(problems: list[reader.SettingsProblem]) -> bool:
    return any(problem.code in _INCOMPLETE for problem in problems)
