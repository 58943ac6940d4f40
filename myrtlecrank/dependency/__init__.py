"""The connection to the dependency, which exchanges call while they run."""
