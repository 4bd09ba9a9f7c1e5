"""Quarantine request contents that crash the runners that serve them."""
