"""Runs controllers for a simulator: events as JSON lines in, operations as JSON lines out."""
