"""An overload controller that runs inside each backend of a fleet."""

__version__ = "0.2.0"
