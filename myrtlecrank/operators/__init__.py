"""The operators' file: one TOML file with a section for each subsystem, read whole or not at all."""
