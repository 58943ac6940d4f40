"""Several backends as a fleet: a replicated register with linearizable changes, and leases on the duties of
the fleet. Off by default, and not imported then."""
