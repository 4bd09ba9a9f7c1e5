"""An unchanged instance list is not transferred again."""

from __future__ import annotations

from martenquay_core.platform import instances
from martenquay_core.util import http
from martenquay_standins import host
from martenquay_standins import instances as instance_list
from tests import builders, scenarios


class InstanceClientTest(scenarios.ScenarioTestCase):
    def test_an_unchanged_list_is_not_sent_again(self):
        async def scenario(scene: scenarios.Scene) -> None:
            app = instance_list.InstanceListStandIn()
            app.put(builders.build_runner())
            running = await host.start_stand_in(scene.nursery, app)
            async with http.open_client() as client:
                reader = instances.create_client(
                    client, f"http://{running.address}"
                )
                first = (await reader.list_instances()).ok
                self.assertEqual(first, (await reader.list_instances()).ok)
                self.assertEqual(1, app.unchanged_count)
                app.put(builders.build_runner(name="model-2"))
                changed = (await reader.list_instances()).ok
                self.assertEqual(2, len(changed))
                self.assertEqual(1, app.unchanged_count)

        self.run_scene(scenario)
