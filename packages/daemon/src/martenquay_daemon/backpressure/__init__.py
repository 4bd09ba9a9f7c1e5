"""Backpressure from runners: rate limits, backoff and draining."""
