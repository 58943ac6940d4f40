"""At most one owner of each duty: leases on the local monotonic clock, fencing epochs that only grow, and
fences."""
