"""Simulation of several fleet members on one virtual clock, with injected faults of network, disks and
clocks."""
