"""Take callers' requests and forward them to runners."""
