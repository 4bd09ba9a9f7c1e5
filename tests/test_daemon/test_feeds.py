"""Each daemon watches a bounded subset of the runners."""

from __future__ import annotations

from unittest import mock

import testtools
import trio

from martenquay_core.config import objects
from martenquay_core.platform import instances
from martenquay_daemon import supervision
from martenquay_daemon.routing import feeds
from tests import clocked


class WatchedTest(testtools.TestCase):
    def test_few_runners_are_all_watched(self):
        self.assertEqual({"a", "b"}, feeds.choose_watched("d-1", ["a", "b"]))

    def test_many_daemons_together_watch_every_runner(self):
        runners = [f"runner-{number}" for number in range(200)]
        chosen = [
            feeds.choose_watched(f"daemon-{number}", runners)
            for number in range(100)
        ]
        self.assertEqual({feeds.MAX_WATCHED}, {len(part) for part in chosen})
        self.assertEqual(set(runners), set().union(*chosen))


class RestartTest(clocked.ClockedTestCase):
    def test_a_runner_is_watched_again_after_a_crash(self):
        is_polled_again = trio.Event()
        polled_addresses: list[str] = []

        async def read_load(address: str) -> None:
            polled_addresses.append(address)
            if len(polled_addresses) == 1:
                raise ValueError("fault")
            is_polled_again.set()
            await trio.sleep_forever()

        async def read_events(*_: object) -> None:
            await trio.sleep_forever()

        client = mock.Mock(read_load=read_load, read_events=read_events)
        runner = instances.Instance(
            "model-1",
            instances.InstanceKind.RUNNER,
            "serrana",
            "serra-a",
            "127.0.0.1:1",
            pool="chat",
        )
        directory = mock.Mock()
        directory.list_all.return_value = [runner]
        config = mock.Mock()
        config.find_pool.return_value.kind = objects.PoolKind.MODEL
        watching = feeds.RunnerFeeds(
            client, directory, config, mock.Mock(), mock.Mock(), "d-1", 1.0
        )

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    supervision.keep_running, "feeds", watching.run
                )
                with trio.fail_after(60.0):
                    await is_polled_again.wait()
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)
        self.assertEqual(["127.0.0.1:1"] * 2, polled_addresses)
