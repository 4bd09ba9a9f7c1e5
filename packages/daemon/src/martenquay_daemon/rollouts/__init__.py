"""Roll services out to new runner versions and roll them back."""
