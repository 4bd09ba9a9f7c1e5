"""Compare ways of placing model requests, on in-process fake engines."""
