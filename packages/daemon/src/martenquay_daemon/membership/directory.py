"""Follow the platform's instance list and list each pool's usable runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.config import objects
from martenquay_core.peers import messages
from martenquay_core.platform import instances
from martenquay_core.util import rendezvous
from martenquay_daemon.membership import links

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.configuration import store
    from martenquay_daemon.membership import table

__all__ = ["InstanceFollower", "NoticeFollower", "RunnerDirectory"]

_LOG = logs.create_log("membership")
_NOTICE_RETRY_S = 0.25
_NOTICE_WAIT_S = 20.0

Runner = instances.Instance


class RunnerDirectory:
    """Runners of the instance list, without leaving ones in the pools.

    Attributes:
        version: Incremented whenever the runners of a pool change.
    """

    def __init__(
        self, config: store.ConfigStore, members: table.MemberTable
    ) -> None:
        self.version = 0
        self._config = config
        self._members = members
        self._runners: dict[str, Runner] = {}
        self._pools: dict[tuple[str, str], list[Runner]] = {}
        self._leaving_listeners: list[Callable[[str], None]] = []
        members.listen_for_leaving(self._handle_leaving)

    def listen_for_leaving(self, listener: Callable[[str], None]) -> None:
        """Register a callback for the name of each runner that is leaving."""
        self._leaving_listeners.append(listener)

    def replace_all(self, runners: list[Runner]) -> None:
        """Replace the runners by those of a newly read instance list."""
        for runner in runners:
            if runner.state is instances.InstanceState.LEAVING:
                self._members.merge(messages.RunnerLeaving(runner.name))
        found = {runner.name: runner for runner in runners}
        if found != self._runners:
            self._runners = found
            self._rebuild()

    def list_pool(self, partner: str, pool: str) -> list[Runner]:
        """Return the pool's own runners, without leaving ones."""
        return self._pools.get((partner, pool), [])

    def list_lent(self, partner: str, pool: str) -> list[Runner]:
        """Return other partners' runners that are lent to a pool.

        All daemons lend the same whole runners. The borrower's prompts evict
        the lender's from the prefix caches of these runners only.
        """
        lent: list[Runner] = []
        for key, _ in self._config.state.iterate(objects.Kind.SHARE):
            share = self._config.find(key)
            if not isinstance(share, objects.Share) or key.partner == partner:
                continue
            if share.to == partner and share.serves == pool:
                runners = self.list_pool(key.partner, share.pool)
                lent.extend(_choose_lent(str(key), runners, share.fraction))
        return lent

    def list_all(self) -> list[Runner]:
        """Return all listed runners, also leaving ones."""
        return list(self._runners.values())

    def count_daemons(self) -> int:
        """Return the number of serving daemons of this daemon's partner."""
        own = self._members.list_serving(self._members.me.partner)
        return max(1, len(own))

    def find(self, name: str) -> Runner | None:
        """Return a listed runner by its name, or None."""
        return self._runners.get(name)

    def may_get_work(self, name: str) -> bool:
        """Return whether a runner is listed and not leaving."""
        return name in self._runners and not self._members.is_leaving_runner(
            name
        )

    def _handle_leaving(self, name: str) -> None:
        self._rebuild()
        for listener in self._leaving_listeners:
            listener(name)

    def _rebuild(self) -> None:
        self.version += 1
        self._pools = {}
        for runner in self._runners.values():
            if self._members.is_leaving_runner(runner.name):
                continue
            key = (runner.partner, runner.pool)
            self._pools.setdefault(key, []).append(runner)


def _choose_lent(
    key: str, runners: list[Runner], fraction: float
) -> list[Runner]:
    """Return the lent runners; at least one unless the fraction is 0."""
    if not runners or fraction == 0:
        return []
    count = max(1, round(len(runners) * fraction))
    names = rendezvous.rank_candidates(key, [r.name for r in runners])[:count]
    return [runner for runner in runners if runner.name in names]


class InstanceFollower:
    """Polls the platform's instance list, which lags behind changes."""

    def __init__(
        self,
        client: instances.InstanceClient,
        directory: RunnerDirectory,
        peers: links.PeerLinks,
        poll_s: float,
    ) -> None:
        self._client = client
        self._directory = directory
        self._peers = peers
        self._poll_s = poll_s

    async def run(self) -> None:
        """Poll until cancelled; keep the last list while reads fail."""
        while True:
            listed = await self._client.list_instances()
            if listed.is_ok():
                self._apply_list(listed.ok)
            await trio.sleep(self._poll_s)

    def _apply_list(self, listed: list[instances.Instance]) -> None:
        entry = instances.InstanceKind.ENTRY
        self._directory.replace_all(
            [item for item in listed if item.kind is not entry]
        )
        self._peers.choose_links(
            [
                links.PeerAddress(item.name, item.zone, item.address)
                for item in listed
                if item.kind is entry
            ]
        )


class NoticeFollower:
    """Follows reclaim notices and gossips them to the other daemons."""

    def __init__(
        self, client: instances.InstanceClient, members: table.MemberTable
    ) -> None:
        self._client = client
        self._members = members

    async def run(self) -> None:
        """Read notices by long polling until cancelled."""
        position = 0
        while True:
            page = await self._client.read_notices(position, _NOTICE_WAIT_S)
            if page.is_error():
                await trio.sleep(_NOTICE_RETRY_S)
                continue
            position = page.ok.end
            for notice in page.ok.notices:
                _LOG.write(f"The platform reclaims {notice.instance}.")
                self._members.merge(messages.RunnerLeaving(notice.instance))
