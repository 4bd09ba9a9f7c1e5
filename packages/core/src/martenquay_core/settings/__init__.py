"""Read and check settings, written as JSON with comments."""
