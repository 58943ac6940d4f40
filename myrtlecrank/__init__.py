"""Overload controller that lives inside each backend of a fleet."""
