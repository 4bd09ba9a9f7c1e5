"""Claim idempotency keys in the log so that a call runs at most once."""
