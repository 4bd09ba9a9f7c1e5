"""Keep accepted deferrable requests in the log until they are answered."""
