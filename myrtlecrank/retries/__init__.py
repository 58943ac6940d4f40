"""How much of what arrives is likely repeats, and which callers heed nothing. Decisions only: no I/O, no
clock."""
