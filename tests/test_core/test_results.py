"""The documented table of result codes matches the code."""

from __future__ import annotations

import pathlib

import testtools

from martenquay_core import results

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "usage" / "results.md"


class ResultTableTest(testtools.TestCase):
    def test_the_page_has_a_row_for_each_code_and_no_other(self):
        rows = [
            [cell.strip() for cell in line.strip("| ").split("|")]
            for line in _PAGE.read_text().splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        expected = []
        for code in results.ResultCode:
            info = results.describe_result(code)
            expected.append(
                [
                    str(code.value),
                    code.name,
                    str(info.http_status),
                    str(info.exit_code),
                    info.meaning,
                ]
            )
        self.assertEqual(expected, rows)
