"""The client of the membership list, in which callers find this backend."""
