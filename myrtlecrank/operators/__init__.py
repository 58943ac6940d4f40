"""The operators' file: one TOML for all subsystems, read whole or not at all."""
