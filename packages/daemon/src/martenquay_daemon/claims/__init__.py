"""Let a call that may not be repeated run at most once."""
