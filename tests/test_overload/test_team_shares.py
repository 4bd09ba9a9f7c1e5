"""A greedy team gives way first, and no team starves."""

from __future__ import annotations

import testtools

from martenquay_daemon.overload import team_shares

_USUAL = [f"t-{number}" for number in range(10)]


class TeamSharesTest(testtools.TestCase):
    def _note(
        self, shares: team_shares.TeamShares, team: str, count: int, rate: float
    ) -> None:
        for number in range(count):
            shares.note(team, rate, 1000.0, number / count)

    def test_a_greedy_team_gives_way_to_the_others(self) -> None:
        shares = team_shares.TeamShares()
        for team in _USUAL:
            self._note(shares, team, 20, 1000.0)
        self._note(shares, "greedy", 120, 1000.0)
        usual = shares.find_share("t-1", 0.7, 1.0)
        greedy = shares.find_share("greedy", 0.7, 1.0)
        self.assertGreater(usual, 0.9)
        self.assertLess(greedy, 0.5)
        self.assertGreaterEqual(greedy, 0.35)

    def test_a_large_team_within_its_limit_is_as_any_other(self) -> None:
        shares = team_shares.TeamShares()
        for team in _USUAL:
            self._note(shares, team, 20, 1000.0)
        self._note(shares, "large", 120, 6000.0)
        self.assertAlmostEqual(
            shares.find_share("t-1", 0.5, 1.0),
            shares.find_share("large", 0.5, 1.0),
            places=1,
        )

    def test_the_shares_add_up_to_what_may_be_admitted(self) -> None:
        shares = team_shares.TeamShares()
        counts = {team: 10 + 10 * n for n, team in enumerate(_USUAL)}
        for team, count in counts.items():
            self._note(shares, team, count, 1000.0)
        admitted = sum(
            count * shares.find_share(team, 0.6, 1.0)
            for team, count in counts.items()
        )
        self.assertAlmostEqual(0.6, admitted / sum(counts.values()), delta=0.06)

    def test_two_requests_at_once_make_no_team_greedy(self) -> None:
        """A daemon of a large fleet sees few requests of each team."""
        shares = team_shares.TeamShares()
        for team in _USUAL[:4]:
            self._note(shares, team, 1, 1000.0)
        self._note(shares, "t-9", 2, 1000.0)
        self.assertGreater(shares.find_share("t-9", 0.5, 1.0), 0.38)

    def test_an_unknown_team_gets_the_share_of_all(self) -> None:
        shares = team_shares.TeamShares()
        self.assertEqual(0.4, shares.find_share("new", 0.4, 0.0))
