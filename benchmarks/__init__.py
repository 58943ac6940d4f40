"""Benchmarks of single parts of the program."""
