"""Checks the model of the claim protocol and that ClaimTable agrees with it."""

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

    def test_each_injected_bug_is_found(self):
        for bug in list(claims.InjectedBug)[1:]:
            buggy = claims.ClaimSpecification(bug)
            found = checker.search_violation(buggy, _DEPTH)
            self.assertEqual(checker.Verdict.VIOLATED, found.verdict, bug)
            self.assertGreater(len(found.trace), 1)


class ClaimTableTest(testtools.TestCase):
    def test_the_claim_table_grants_the_key_as_the_model_does_for_short_logs(
        self,
    ):
        specification = claims.ClaimSpecification()
        records_by_code = {
            1: records.Claim("key", "a0", "d0", "x"),
            2: records.Claim("key", "a1", "d1", "x"),
            3: records.Release("key", "a0"),
            4: records.Release("key", "a1"),
        }
        logs = itertools.product(range(5), repeat=claims.LOG_LENGTH)
        for log in logs:
            # The log has no empty position before its end.
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
