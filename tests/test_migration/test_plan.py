"""The plan moves first what is lost otherwise, as far as time and room go."""

from __future__ import annotations

import math
import random

import testtools

from martenquay_daemon.migration import plan
from tests import migration_builders as builders

_NOTICE_S = 2.4


class PlanTest(testtools.TestCase):
    def plan(self, streams, targets=None, **engine) -> plan.MovePlan:
        if targets is None:
            targets = [builders.build_target()]
        leaving = builders.build_leaving_engine(**engine)
        return plan.plan_moves(leaving, streams, targets)

    def list_moved(self, planned: plan.MovePlan) -> list[str]:
        return [move.stream.id for move in planned.moves]

    def find_reason(self, planned: plan.MovePlan) -> plan.StayReason:
        (stay,) = planned.stays
        return stay.reason

    def test_runs_that_cannot_be_resumed_go_first_and_large_ones_among_them(
        self,
    ) -> None:
        streams = [
            builders.build_stream(id="chat", tokens=900, is_resumable=True),
            builders.build_stream(id="small", tokens=2_000),
            builders.build_stream(id="chat-2", tokens=9_000, is_resumable=True),
            builders.build_stream(id="large", tokens=12_000),
        ]
        self.assertEqual(
            ["large", "small", "chat-2", "chat"],
            self.list_moved(self.plan(streams)),
        )

    def test_a_stream_that_ends_in_time_stays(self) -> None:
        planned = self.plan([builders.build_stream(remaining_s=0.7)])
        self.assertIs(plan.StayReason.ENDS_IN_TIME, self.find_reason(planned))

    def test_a_stream_that_may_end_late_moves(self) -> None:
        # The estimate is a mean, a slow period could delay the end, and the
        # notice may be a second old.
        planned = self.plan([builders.build_stream(remaining_s=1.2)])
        self.assertEqual(["call-1"], self.list_moved(planned))

    def test_a_run_without_an_event_moves_only_at_the_last_moment(self) -> None:
        # Its engine may not have begun with it, and could not copy it.
        stream = builders.build_stream(has_begun=False)
        planned = self.plan([stream])
        self.assertIs(plan.StayReason.NOT_BEGUN, self.find_reason(planned))
        planned = self.plan([stream], time_left_s=0.7)
        self.assertEqual(["call-1"], self.list_moved(planned))

    def test_a_resumable_run_without_an_event_is_never_moved(self) -> None:
        stream = builders.build_stream(has_begun=False, is_resumable=True)
        planned = self.plan([stream], time_left_s=0.7)
        self.assertIs(plan.StayReason.NOT_BEGUN, self.find_reason(planned))

    def test_a_stream_of_unknown_length_moves(self) -> None:
        planned = self.plan([builders.build_stream(remaining_s=math.inf)])
        self.assertEqual(["call-1"], self.list_moved(planned))

    def test_without_another_engine_all_stay(self) -> None:
        planned = self.plan([builders.build_stream()], [])
        self.assertIs(plan.StayReason.NO_TARGET, self.find_reason(planned))

    def test_an_engine_that_refused_a_run_is_not_asked_again(self) -> None:
        refused = builders.build_stream(refused=frozenset({"engine-1"}))
        planned = self.plan([refused])
        self.assertIs(plan.StayReason.NO_TARGET, self.find_reason(planned))

    def test_a_full_engine_is_asked_only_for_what_is_lost_otherwise(
        self,
    ) -> None:
        full = builders.build_target(requests=16)
        resumable = builders.build_stream(is_resumable=True)
        planned = self.plan([resumable], [full])
        self.assertIs(plan.StayReason.NO_TARGET, self.find_reason(planned))
        planned = self.plan([builders.build_stream()], [full])
        self.assertEqual(["call-1"], self.list_moved(planned))

    def test_a_full_engine_is_the_last_choice(self) -> None:
        targets = [
            builders.build_target(id="full", requests=16),
            builders.build_target(id="far", zone="b"),
            builders.build_target(id="near", requests=8),
        ]
        (move,) = self.plan([builders.build_stream()], targets).moves
        self.assertEqual(("near", "far", "full"), move.targets)

    def test_planned_runs_count_as_load_of_their_target(self) -> None:
        targets = [
            builders.build_target(id=f"engine-{n}", slots=4) for n in range(3)
        ]
        streams = [builders.build_stream(id=f"call-{n}") for n in range(12)]
        firsts = [move.targets[0] for move in self.plan(streams, targets).moves]
        for target in targets:
            self.assertEqual(4, firsts.count(target.id))

    def test_copies_share_the_link_and_the_last_do_not_fit(self) -> None:
        # One copy takes 0.88 s, so that two fit into 2.2 s.
        streams = [builders.build_stream(id=f"call-{n}") for n in range(4)]
        traits = builders.build_traits(link_mbps=2_000.0)
        planned = self.plan(streams, traits=traits)
        self.assertEqual(["call-0", "call-1"], self.list_moved(planned))
        reasons = {stay.reason for stay in planned.stays}
        self.assertEqual({plan.StayReason.NO_TIME}, reasons)

    def test_streams_of_other_daemons_take_their_share_of_the_link(
        self,
    ) -> None:
        traits = builders.build_traits(link_mbps=2_000.0)
        planned = self.plan(
            [builders.build_stream()], traits=traits, link_share=0.25
        )
        self.assertIs(plan.StayReason.NO_TIME, self.find_reason(planned))

    def test_a_copy_that_outlives_its_handle_is_not_made(self) -> None:
        traits = builders.build_traits(link_mbps=2_000.0, kv_handle_s=0.5)
        planned = self.plan([builders.build_stream()], traits=traits)
        self.assertIs(plan.StayReason.COPY_EXPIRES, self.find_reason(planned))

    def test_a_copy_to_another_zone_takes_twice_as_long(self) -> None:
        leaving = builders.build_leaving_engine()
        near_s = plan.estimate_copy_s(leaving, 12_000, is_other_zone=False)
        far_s = plan.estimate_copy_s(leaving, 12_000, is_other_zone=True)
        self.assertAlmostEqual(0.0201, near_s, places=4)
        self.assertAlmostEqual(2 * near_s, far_s)


class ReplayTest(testtools.TestCase):
    """Replays the load of the design page on an engine that is reclaimed."""

    def build_load(
        self, rng: random.Random, count: int, drafts: float
    ) -> list[plan.StreamState]:
        """Return running streams: drafts of up to 8 s, and short chats."""
        streams = []
        for number in range(count):
            is_draft = rng.random() < drafts
            streams.append(
                builders.build_stream(
                    id=f"call-{number}",
                    tokens=rng.randint(12_000, 12_400) if is_draft else 950,
                    remaining_s=rng.uniform(0.0, 8.0 if is_draft else 5.0),
                    is_resumable=not is_draft,
                )
            )
        return streams

    def check(self, link_mbps: float, slots: int, seed: int) -> None:
        rng = random.Random(seed)
        streams = self.build_load(rng, slots, drafts=0.5)
        targets = [
            builders.build_target(
                id=f"engine-{n}",
                zone="abcd"[n % 4],
                slots=slots,
                requests=rng.randint(0, slots),
            )
            for n in range(12)
        ]
        leaving = builders.build_leaving_engine(
            traits=builders.build_traits(slots=slots, link_mbps=link_mbps)
        )
        planned = plan.plan_moves(leaving, streams, targets)
        moved = {move.stream.id for move in planned.moves}
        for stream in streams:
            if not stream.is_resumable and stream.remaining_s > _NOTICE_S:
                self.assertIn(stream.id, moved, (seed, stream))
        copies_s = sum(move.copy_s for move in planned.moves)
        self.assertLess(copies_s, _NOTICE_S)

    def test_all_drafts_of_an_engine_of_deployment_a_are_moved(self) -> None:
        for seed in range(50):
            self.check(550_000.0, 64, seed)

    def test_all_drafts_of_an_engine_of_deployment_b_are_moved(self) -> None:
        for seed in range(50):
            self.check(88_000.0, 16, seed)

    def test_one_of_many_daemons_moves_its_only_draft(self) -> None:
        # 64 daemons relay one stream of the engine each and know only theirs.
        draft = builders.build_stream()
        leaving = builders.build_leaving_engine(
            traits=builders.build_traits(slots=64, link_mbps=550_000.0),
            link_share=1 / 64,
        )
        planned = plan.plan_moves(
            leaving, [draft], [builders.build_target(slots=64)]
        )
        self.assertEqual(1, len(planned.moves))
