"""Store deferrable requests durably in the log and answer them later."""
