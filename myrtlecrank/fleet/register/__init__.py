"""The fleet register: small versioned records changed by compare-and-set, linearizable through any
partition."""
