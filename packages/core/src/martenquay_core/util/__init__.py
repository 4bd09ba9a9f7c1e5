"""Hold small helpers, one topic a module."""
