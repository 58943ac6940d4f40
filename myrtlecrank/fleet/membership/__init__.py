"""Which members are alive. Used to react quickly only: no safety property depends on it."""
