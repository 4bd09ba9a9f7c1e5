"""Answer callers over HTTP."""
