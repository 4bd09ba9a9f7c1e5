"""Live migration of streams from leaving engines to others."""
