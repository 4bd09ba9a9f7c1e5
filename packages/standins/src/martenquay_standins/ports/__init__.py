"""In-memory implementations of the platform ports, and test runners."""
