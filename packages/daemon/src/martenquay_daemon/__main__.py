"""Run the daemon with `python -m martenquay_daemon`."""

from __future__ import annotations

from martenquay_daemon import entry

if __name__ == "__main__":
    entry.start()
