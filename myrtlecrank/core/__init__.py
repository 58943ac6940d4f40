"""The actor of the controller, its messages and the state it publishes. Knows no frames and no sockets."""
