"""Types and platform interfaces for requests forwarded to runners."""
