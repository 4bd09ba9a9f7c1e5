"""Run the client with `python -m martenquay_client`."""

from __future__ import annotations

from martenquay_client import main

if __name__ == "__main__":
    main.start()
