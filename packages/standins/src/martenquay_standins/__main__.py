"""Run a fake server with `python -m martenquay_standins`."""

from __future__ import annotations

from martenquay_standins import main

if __name__ == "__main__":
    main.start()
