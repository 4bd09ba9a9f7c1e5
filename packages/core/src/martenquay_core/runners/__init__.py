"""Meet the runners: model engines and plain services."""
