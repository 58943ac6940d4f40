"""Stand-ins, faults, rule checkers and experiments. Never imported by the program."""
