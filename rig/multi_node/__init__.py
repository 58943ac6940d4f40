"""Several members of a fleet on one virtual clock: their decisions between a network, disks and clocks that
fail."""
