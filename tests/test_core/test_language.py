"""Statements are parsed, and errors point at the invalid word."""

from __future__ import annotations

import testtools

from martenquay_core.language import parser, statements


class ParserTest(testtools.TestCase):
    def _parse(self, text: str):
        parsed = parser.parse_statement(text)
        self.assertTrue(parsed.is_ok(), parsed)
        return parsed.ok

    def _fail(self, text: str) -> parser.SyntaxFailure:
        parsed = parser.parse_statement(text)
        self.assertTrue(parsed.is_error(), parsed)
        return parsed.error

    def test_a_query_has_a_noun_a_name_and_conditions(self):
        self.assertEqual(
            statements.Show(
                "runners",
                statements.Qualified("serrana", "model-1"),
                (
                    statements.Condition("zone", "serra-a"),
                    statements.Condition("ahead", 3),
                ),
            ),
            self._parse(
                "show runners serrana/model-1 where zone=serra-a and ahead=3"
            ),
        )

    def test_values_are_words_strings_numbers_or_booleans(self):
        create = self._parse('create pool a kind="model" checks_orders=true')
        self.assertEqual(
            (
                statements.Assignment("kind", "model"),
                statements.Assignment("checks_orders", True),
            ),
            create.assignments,
        )
        change = self._parse("set team a weight=1.5 concurrency=4")
        self.assertEqual([1.5, 4], [item.value for item in change.assignments])

    def test_a_digest_needs_no_quotes(self):
        digest = "sha256:" + "0a" * 32
        create = self._parse(f"create team a credential={digest}")
        self.assertEqual(digest, create.assignments[0].value)

    def test_a_change_may_name_the_version_it_is_based_on(self):
        drop = self._parse("drop route chat if version 17")
        self.assertEqual(17, drop.version)
        self.assertIsNone(self._parse("drop route chat").version)

    def test_names_that_begin_with_digits_are_names(self):
        show = self._parse("show runners 3d-printer")
        self.assertEqual("3d-printer", show.name.name)

    def test_an_error_points_at_an_unknown_noun_and_suggests_one(self):
        failure = self._fail("show runers")
        self.assertEqual(6, failure.column)
        self.assertIn("did you mean 'runners'", failure.message)

    def test_an_error_points_at_an_unknown_field(self):
        text = "set team counter wieght=3"
        failure = self._fail(text)
        self.assertEqual(18, failure.column)
        marked = failure.point_at(text).splitlines()[1]
        self.assertEqual(17, marked.index("^"))

    def test_an_error_points_behind_an_incomplete_statement(self):
        self.assertEqual(5, self._fail("show").column)
        self.assertEqual(1, self._fail("").column)

    def test_a_why_takes_any_request_id(self):
        for name in ("req-1", "REQ_9.a:b"):
            self.assertEqual(statements.Why(name), self._parse(f"why {name}"))
