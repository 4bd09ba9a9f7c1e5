"""Run on every entry instance, between callers and runners."""
