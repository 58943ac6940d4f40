"""The decisions on admission, queueing, cancellation and denial; free of I/O and clocks."""
