"""The edge protocol: turns bytes into typed frames and back, without sockets or decisions."""
