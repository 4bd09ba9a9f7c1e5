"""Follow, store, change and snapshot the configuration."""
