"""A demonstration of a whole cell on loopback."""
