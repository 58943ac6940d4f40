"""One owner at a time of each duty: leases on the local monotonic clock, epochs that only grow, fences."""
