"""Programs that speak the protocol of links cannot exhaust the daemon."""

from __future__ import annotations

import contextlib

import trio
import zmq

from tests import crowd_case, crowd_scene

_CLIENTS = 200
_SETTLE_POLLS = 50
_POLL_S = 0.1
# One message of many frames, each below the limit of frames.
_FRAMES = 60
_FRAME_BYTES = 8_000_000


class LinksTest(crowd_case.CrowdCase):
    def test_many_links_leave_descriptors(self) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            with _open_links(scene, _CLIENTS) as links:
                for link in links:
                    link.send(b"hello", zmq.NOBLOCK)
                for _ in range(_SETTLE_POLLS):
                    await trio.sleep(_POLL_S)
                await self.assert_healthy(scene)

        self.play(scenario, descriptors=crowd_scene.DESCRIPTORS)

    def test_one_message_of_many_frames_fits_in_memory(self) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            with _open_links(scene, 1) as (link,):
                frame = bytes(_FRAME_BYTES)
                frames = [frame] * _FRAMES
                await trio.to_thread.run_sync(link.send_multipart, frames)
                for _ in range(_SETTLE_POLLS):
                    await trio.sleep(_POLL_S)
                await self.assert_healthy(scene)

        self.play(scenario)


@contextlib.contextmanager
def _open_links(scene: crowd_scene.CrowdScene, count: int):
    """Connect sockets as daemons do; their handshake is completed."""
    context = zmq.Context()
    links = [context.socket(zmq.DEALER) for _ in range(count)]
    try:
        for link in links:
            link.connect(f"tcp://{scene.addresses.format('peers')}")
        yield links
    finally:
        for link in links:
            link.close(0)
        context.term()
