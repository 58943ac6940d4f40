"""The front that speaks frames with the callers."""
