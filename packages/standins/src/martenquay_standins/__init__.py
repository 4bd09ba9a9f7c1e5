"""Stand-ins for tests: fake platform services, engines and backend servers."""
