"""List the engines that may get the streams of a leaving one."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

from martenquay_daemon.migration import plan

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from martenquay_core.serving import runners
    from martenquay_daemon.backpressure import runner_admission
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.engines import loads
    from martenquay_daemon.limits import ejection

__all__ = ["TargetFinder"]


class TargetFinder:
    """Finds runners by the same checks as the placement of requests.

    The placer itself returns one of a few random runners for a new request; a
    move needs several in order, with their loads, and no prefix cache.
    """

    def __init__(
        self,
        directory: runner_directory.RunnerDirectory,
        admission: runner_admission.RunnerAdmission,
        ejector: ejection.Ejector,
        ledger: loads.LoadLedger,
        is_zone_silent: Callable[[str], bool],
    ) -> None:
        self._directory = directory
        self._admission = admission
        self._ejector = ejector
        self._ledger = ledger
        self._is_zone_silent = is_zone_silent
        self._reserved: collections.Counter[str] = collections.Counter()

    def list_targets(
        self, source: runners.Runner
    ) -> list[tuple[runners.Runner, plan.TargetState]]:
        """Return the runners that may continue a run of a leaving runner.

        Only runners of the same software version are returned: the answer of
        another version would not continue that of this one.
        """
        usable = [
            runner
            for runner in self._directory.list_usable(source.service)
            if runner.id != source.id
            and runner.software == source.software
            and not self._is_zone_silent(runner.zone)
        ]
        usable = self._admission.filter_accepting(usable)
        allowed = set(self._ejector.filter_usable([r.id for r in usable]))
        return [
            (runner, self._describe(runner))
            for runner in usable
            if runner.id in allowed
        ]

    @contextlib.contextmanager
    def reserve(self, runner: runners.Runner) -> Iterator[None]:
        """Count a request at a runner that gets a copy, while it is copied.

        The loads have the request only once it is sent.
        """
        self._reserved[runner.id] += 1
        try:
            yield
        finally:
            self._reserved[runner.id] -= 1

    def find_link_share(self, source: runners.Runner, own: int) -> float:
        """Return the share of a runner's link for this daemon's streams.

        Other daemons move theirs at the same time.

        Args:
            source: The leaving runner.
            own: Streams that this daemon relays from it.
        """
        requests = self._ledger.find(source.id).requests
        return min(1.0, own / max(1, requests))

    def _describe(self, runner: runners.Runner) -> plan.TargetState:
        requests = self._ledger.find(runner.id).requests
        return plan.TargetState(
            runner.id,
            runner.zone,
            runner.slots,
            requests + self._reserved[runner.id],
        )
