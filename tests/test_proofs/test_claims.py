"""The claim protocol is checked, and tied to the code's own fold."""

from __future__ import annotations

import itertools

import testtools
import z3
from proofs import checker, claims

from martenquay_daemon.claims import records, table

_DEPTH = 9


class ClaimSpecificationTest(testtools.TestCase):
    def test_no_run_makes_the_call_twice_or_after_not_run(self):
        found = checker.search_violation(claims.ClaimSpecification(), _DEPTH)
        self.assertEqual(checker.Verdict.HOLDS, found.verdict, found.trace)

    def test_each_broken_variant_is_refuted(self):
        for bug in list(claims.InjectedBug)[1:]:
            buggy = claims.ClaimSpecification(bug)
            found = checker.search_violation(buggy, _DEPTH)
            self.assertEqual(checker.Verdict.VIOLATED, found.verdict, bug)
            self.assertGreater(len(found.trace), 1)


class ClaimFoldTest(testtools.TestCase):
    def test_the_code_folds_every_short_log_as_the_specification_does(self):
        specification = claims.ClaimSpecification()
        records_by_code = {
            1: records.Claim("key", "a0", "d0", "x"),
            2: records.Claim("key", "a1", "d1", "x"),
            3: records.Release("key", "a0"),
            4: records.Release("key", "a1"),
        }
        logs = itertools.product(range(5), repeat=claims.LOG_LENGTH)
        for log in logs:
            # Places fill from the front; a release comes once.
            written = list(itertools.takewhile(bool, log))
            if any(log[len(written) :]):
                continue
            folded = table.ClaimTable(full_outcomes=1)
            for offset, code in enumerate(written, 1):
                record = records.encode(records_by_code[code])
                folded.apply(offset, record)
            entry = folded.find("key")
            holder = entry.claim.holder if entry else ""
            self.assertEqual(
                self._find_holder(specification, log), holder, str(log)
            )

    def _find_holder(self, specification, log) -> str:
        state = {
            f"log{position}": z3.IntVal(code)
            for position, code in enumerate(log)
        }
        for daemon in claims.DAEMONS:
            if z3.is_true(z3.simplify(specification.holds(state, daemon))):
                return f"d{daemon}"
        return ""
