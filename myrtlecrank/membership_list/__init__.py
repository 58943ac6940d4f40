"""The membership list that callers find this backend by."""
