"""The connection to the render farm's agent, which runs the exchanges."""
