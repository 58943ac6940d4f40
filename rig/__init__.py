"""Test stand-ins, fault injection, rule checkers and experiments. The program never imports this package."""
