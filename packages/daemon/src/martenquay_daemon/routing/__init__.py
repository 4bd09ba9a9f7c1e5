"""Choose a runner for each request."""
