"""Estimates which arrivals are retries and which callers ignore backpressure. Decisions only: no I/O and no
clock."""
