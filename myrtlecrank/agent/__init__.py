"""The connection to the agent, which runs the exchanges."""
