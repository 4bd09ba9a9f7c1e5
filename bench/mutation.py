"""Define a mutation: a source change that disables one mechanism."""

from __future__ import annotations

import dataclasses

__all__ = ["CORE", "DAEMON", "Mutation"]

DAEMON = "packages/daemon/src/martenquay_daemon"
CORE = "packages/core/src/martenquay_core"


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Source change that the tests should detect.

    Attributes:
        name: Mechanism that is disabled.
        file: Path of the changed file from the repository's root.
        old: Text to replace.
        new: Replacement.
        tests: Test module or class that should fail.
    """

    name: str
    file: str
    old: str
    new: str
    tests: str
