"""Forward model requests and service calls to runners."""
