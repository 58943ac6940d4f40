"""The fleet register: small versioned records changed by compare-and-set, one truth through any partition."""
