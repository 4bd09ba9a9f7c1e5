"""Tests of martenquay."""

import eliot
import hypothesis


def _drop_line(line: dict[str, object]) -> None:
    del line


# Without a listener eliot keeps lines, and the first test that listens would
# get those of the tests before it.
eliot.add_destinations(_drop_line)
# Both limits judge the machine's speed and not the code under test: a pause of
# one second while examples are drawn fails the health check.
hypothesis.settings.register_profile(
    "untimed",
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("untimed")
