"""The rig's stand-ins around real processes, on loopback and in real time."""
