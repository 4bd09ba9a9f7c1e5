"""A fault in one message or task of the links ends no request."""

from __future__ import annotations

import errno
import math
from unittest import mock

import trio
import zmq

from martenquay_core.peers import sockets
from martenquay_daemon.discovery import runner_entries
from martenquay_daemon.fleet import messages
from tests import fault_scene
from tests import serving_builders as builders

# Deeper than Python's recursion limit.
_NESTED = b"\x91" * 5000
_FAULT = ValueError("a value that nobody expected")
# Several rounds of gossip, and of quota updates.
_ROUNDS_S = 0.5
# Several rounds in which the holder of the lease judges trials.
_JUDGED_S = 2.0


def _build_state_reply(**changes: object) -> messages.StateReply:
    fields: dict[str, object] = {
        "catalog": b"",
        "runners_end": 0,
        "runners": [],
        "runner_ids": ["runner-1"],
        "peers": [],
        "runners_age_ms": 0,
        "regained_ms": 0,
        "number": 0,
    }
    return messages.StateReply(**(fields | changes))


class MessageFaultsTest(fault_scene.FaultTestCase):
    def test_a_message_with_deep_arrays_behind_its_fields_is_dropped(
        self,
    ) -> None:
        request = messages.StateRequest(1, 0, 1)
        raw = messages.encode_message(request)
        # One more element, as a later version may send it.
        longer = bytes([raw[0] + 1]) + raw[1:] + _NESTED

        async def fail(scene: fault_scene.FaultScene) -> None:
            await scene.send(longer)
            await scene.wait_line("message that cannot be read")

        self.run_beside_request(fail)

    def test_a_huge_offset_in_a_message_ends_no_request(self) -> None:
        copy = runner_entries.RunnerCopy("runner-9", 2**64 - 1, b"junk")
        reply = _build_state_reply(
            runners_end=2**64 - 1, runners=[copy], number=1
        )

        async def fail(scene: fault_scene.FaultScene) -> None:
            await scene.send(messages.encode_message(reply))
            await trio.sleep(_ROUNDS_S)

        self.run_beside_request(fail)

    def test_a_state_reply_that_nobody_asked_for_removes_no_runner(
        self,
    ) -> None:
        reply = _build_state_reply(runners_end=2**39, runner_ids=[], number=7)

        async def fail(scene: fault_scene.FaultScene) -> None:
            await scene.send(messages.encode_message(reply))
            await scene.wait_line("Dropped a reply")

        self.run_beside_request(fail)

    def test_a_message_whose_handler_fails_costs_that_message(self) -> None:
        digest = messages.DigestMessage(builders.build_digest())

        async def fail(scene: fault_scene.FaultScene) -> None:
            fleet = scene.daemon.parts._fleet_view
            with mock.patch.object(fleet, "apply_digest", side_effect=_FAULT):
                await scene.send(messages.encode_message(digest))
                line = await scene.wait_line("nobody expected")
            self.assertIn("_handle_digest", line["trace"])
            await scene.send(messages.encode_message(digest))
            while not fleet.list_fresh():
                await trio.sleep(0.01)

        self.run_beside_request(fail)

    def test_odd_numbers_of_a_trial_do_not_stop_the_rollouts(self) -> None:
        tally = messages.TallyEntry(5, -3, 2, math.nan, math.inf)
        digest = builders.build_digest(
            trials={"desk": messages.TrialEntry(5, {"r": (tally, tally)})},
            orders=[messages.RolloutOrderEntry("desk", "v2", 30.0, 5)],
        )

        async def fail(scene: fault_scene.FaultScene) -> None:
            message = messages.DigestMessage(digest)
            await scene.send(messages.encode_message(message))
            await trio.sleep(_JUDGED_S)

        scene = self.run_beside_request(fail)
        self.assertEqual(
            [], [line["text"] for line in scene.lines if "trace" in line]
        )

    def test_a_quota_request_that_fails_costs_that_request(self) -> None:
        request = messages.QuotaRequest(1, "acme", 1.0, 0, False, False)

        async def fail(scene: fault_scene.FaultScene) -> None:
            links = scene.daemon.parts.links
            failing = mock.AsyncMock(side_effect=_FAULT)
            original = links.listeners
            links.listeners = mock.Mock(
                wraps=original, answer_quota_request=failing
            )
            await scene.send(messages.encode_message(request))
            await scene.wait_line("nobody expected")
            links.listeners = original
            self.assertEqual(0, links._answering)
            await scene.send(messages.encode_message(request))
            reply = messages.decode_message((await scene.peer.receive())[-1])
            self.assertIsInstance(reply, messages.QuotaReply)

        self.run_beside_request(fail)

    def test_a_round_of_gossip_that_fails_costs_that_round(self) -> None:
        async def fail(scene: fault_scene.FaultScene) -> None:
            gossip = scene.daemon.parts._state_gossip
            with mock.patch.object(gossip, "create_digest", side_effect=_FAULT):
                await scene.wait_line("nobody expected")
            number = gossip._number
            while gossip._number == number:
                await trio.sleep(0.01)

        self.run_beside_request(fail)

    def test_quota_updates_that_fail_end_no_request(self) -> None:
        async def fail(scene: fault_scene.FaultScene) -> None:
            links = scene.daemon.parts.links
            with mock.patch.object(
                links, "_list_quota_holders", side_effect=_FAULT
            ):
                links.notify_quota_soon()
                await scene.wait_line("nobody expected")

        self.run_beside_request(fail)

    def test_a_link_that_fails_is_renewed(self) -> None:
        async def fail(scene: fault_scene.FaultScene) -> None:
            links = scene.daemon.parts.links
            router = sockets.bind_router(scene._context, "127.0.0.1:0")
            digest = builders.build_digest(address=router.address)
            message = messages.DigestMessage(digest)
            error = zmq.ZMQError(errno.EFAULT, "Bad address")
            receive = sockets.PeerSocket.receive

            async def fail_link(self):
                if not self.address:
                    raise error
                return await receive(self)

            with mock.patch.object(sockets.PeerSocket, "receive", fail_link):
                await scene.send(messages.encode_message(message))
                line = await scene.wait_line("Task link failed")
            self.assertEqual(router.address, line["address"])
            while router.address not in links._links:
                await trio.sleep(0.01)
            router.close()

        self.run_beside_request(fail)

    def test_a_link_without_a_descriptor_is_made_later(self) -> None:
        async def fail(scene: fault_scene.FaultScene) -> None:
            links = scene.daemon.parts.links
            digest = builders.build_digest(address="127.0.0.1:1")
            message = messages.DigestMessage(digest)
            error = OSError(errno.EMFILE, "Too many open files")
            with mock.patch.object(sockets.os, "dup", side_effect=error):
                await scene.send(messages.encode_message(message))
                await scene.wait_line("Cannot create a link")
            while "127.0.0.1:1" not in links._links:
                await trio.sleep(0.01)

        self.run_beside_request(fail)

    def test_a_failed_read_of_requests_keeps_the_socket(self) -> None:
        request = messages.QuotaRequest(1, "acme", 1.0, 0, False, False)

        async def fail(scene: fault_scene.FaultScene) -> None:
            error = zmq.ZMQError(errno.EFAULT, "Bad address")
            with mock.patch.object(
                sockets.PeerSocket, "_has_message", side_effect=error
            ):
                scene.peer._raw_socket.send(messages.encode_message(request))
                await scene.wait_line("Bad address")
            await scene.send(messages.encode_message(request))
            await scene.peer.receive()

        self.run_beside_request(fail)
