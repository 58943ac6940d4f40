"""The edge protocol: bytes in, typed frames out. No sockets, no decisions."""
