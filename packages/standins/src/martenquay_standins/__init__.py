"""Stand in for the platform, model engines and plain services in tests."""
