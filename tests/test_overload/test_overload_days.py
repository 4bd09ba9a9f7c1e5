"""Replays of loads over the capacity, against the check on the deadline alone.

Each load is replayed with the setting off as well; the check on the deadline
must fail what is asked of the gate, or the replay shows nothing.
"""

from __future__ import annotations

from tests import clocked, overload_days

_SEEDS = (1, 2)


class OverloadDaysTest(clocked.ClockedTestCase):
    def play(self, **changes) -> overload_days.Outcome:
        """Return the requests of all seeds of a replay together."""
        total = overload_days.Outcome()

        async def scenario() -> None:
            for seed in _SEEDS:
                day = overload_days.OverloadDay(seed=seed, **changes)
                found = await overload_days.play_day(day)
                total.asked += found.asked
                total.idle_rejections += found.idle_rejections

        self.run_clocked(scenario)
        return total

    def find_served(self, outcome: overload_days.Outcome, name: str) -> float:
        """Return the share of a kind's requests that were answered."""
        return outcome.find_served(lambda one: one.kind.name == name)

    def find_on_time(self, outcome: overload_days.Outcome, name: str) -> float:
        """Return the share of a kind's requests that were on time."""
        return outcome.find_share(
            "on time", choose=lambda one: one.kind.name == name
        )

    def test_slight_overload_costs_the_more_urgent_kinds_little(self) -> None:
        before = self.play(load=1.2, is_gated=False)
        after = self.play(load=1.2)
        self.assertGreater(self.find_on_time(after, "chat"), 0.95)
        self.assertGreater(self.find_on_time(after, "draft"), 0.85)
        # Without the gate, tags wait until their callers have left.
        self.assertGreater(before.find_share("lost"), 0.08)
        self.assertLess(after.find_share("lost"), 0.02)

    def test_twice_the_capacity_is_worth_more_than_before(self) -> None:
        before = self.play(load=2.0, is_gated=False)
        after = self.play(load=2.0)
        self.assertGreater(self.find_on_time(after, "chat"), 0.95)
        self.assertGreater(self.find_on_time(after, "draft"), 0.55)
        self.assertLess(self.find_on_time(before, "draft"), 0.4)
        self.assertGreater(after.find_value(), before.find_value() + 0.08)

    def test_six_times_the_capacity_leaves_the_most_urgent_on_time(
        self,
    ) -> None:
        before = self.play(load=6.0, length_s=9.0, engines=4, is_gated=False)
        after = self.play(load=6.0, length_s=9.0, engines=4)
        self.assertLess(self.find_on_time(before, "chat"), 0.8)
        self.assertGreater(self.find_on_time(after, "chat"), 0.95)
        self.assertGreater(after.find_value(), before.find_value())

    def test_clumps_of_three_are_served(self) -> None:
        before = self.play(load=1.5, burst=3, is_gated=False)
        after = self.play(load=1.5, burst=3)
        self.assertGreater(self.find_on_time(after, "chat"), 0.95)
        self.assertGreater(after.find_value(), before.find_value() + 0.05)

    def test_half_of_the_runners_gone_is_worth_more_than_before(self) -> None:
        before = self.play(load=0.8, lost_at_s=4.0, is_gated=False)
        after = self.play(load=0.8, lost_at_s=4.0)
        self.assertGreater(self.find_on_time(after, "chat"), 0.93)
        self.assertGreater(after.find_value(), before.find_value() + 0.03)

    def test_a_greedy_team_gives_way(self) -> None:
        """All others sent what they usually do."""
        outcome = self.play(load=1.8, greedy=6.0)
        greedy = outcome.find_served(
            lambda one: one.team == "t-0" and one.kind.name == "draft"
        )
        others = outcome.find_served(
            lambda one: one.team != "t-0" and one.kind.name == "draft"
        )
        self.assertGreater(others, greedy + 0.05)
        self.assertGreater(greedy, 0.25 * others)

    def test_callers_that_return_as_told_are_mostly_served(self) -> None:
        """A third retries at once; Retry-After must be worth following."""
        outcome = self.play(load=1.5)
        again = [
            one
            for one in outcome.asked
            if one.tries > 1
            and one.kind.name == "draft"
            and one.tried_at - one.began_at > 0.05
        ]
        on_time = sum(one.result == "on time" for one in again)
        self.assertGreater(on_time / len(again), 0.5)

    def test_no_size_zone_or_team_starves(self) -> None:
        outcome = self.play(load=2.0)
        for kind in overload_days.KINDS_A[:2]:
            sizes = sorted(
                one.tokens for one in outcome.asked if one.kind is kind
            )
            served = self.find_served(outcome, kind.name)
            for low, high in ((0.7, 0.9), (0.9, 1.0)):
                least = sizes[int(low * len(sizes))]
                most = sizes[int(high * len(sizes)) - 1]
                part = outcome.find_served(
                    lambda one, k=kind, a=least, b=most: (
                        one.kind is k and a <= one.tokens <= b
                    )
                )
                self.assertGreater(part, 0.5 * served, (kind.name, low))
        served = outcome.find_served(lambda _: True)
        for zone in range(4):
            part = outcome.find_served(lambda one, z=zone: one.zone == z)
            self.assertGreater(part, 0.8 * served, zone)
        for team in {one.team for one in outcome.asked}:
            part = outcome.find_served(lambda one, t=team: one.team == t)
            self.assertGreater(part, 0.5 * served, team)

    def test_a_less_urgent_kind_is_not_served_more_often(self) -> None:
        for kinds, slots in (
            (overload_days.KINDS_A, 64),
            (overload_days.KINDS_B, 16),
        ):
            for load in (1.2, 2.0, 4.0):
                outcome = self.play(
                    load=load, kinds=kinds, slots=slots, length_s=6.0
                )
                served = [self.find_served(outcome, k.name) for k in kinds]
                for urgent, other in zip(served, served[1:], strict=False):
                    self.assertGreater(urgent + 0.05, other, (load, served))

    def test_hardly_any_request_is_rejected_on_idle_runners(self) -> None:
        """Reports of the queue are up to half a second old."""
        outcome = self.play(load=2.5, burst_until_s=3.0)
        rejected = sum(one.tries > 1 for one in outcome.asked)
        self.assertLess(outcome.idle_rejections, 0.01 * rejected)
