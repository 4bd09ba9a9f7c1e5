"""Follow the catalog, the runners and other topics of the platform's log."""
