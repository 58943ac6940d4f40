"""Several backends as a fleet: the register that says one thing, and who owns which duty. Off by default, and
not imported then."""
