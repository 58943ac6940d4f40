"""All decisions of admission, order and denial: free of I/O and clocks."""
