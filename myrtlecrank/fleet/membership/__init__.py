"""Who is there and how sure we are. Never a ground for safety, only for speed."""
