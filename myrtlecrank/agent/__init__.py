"""The link to the render farm agent, which does the work."""
