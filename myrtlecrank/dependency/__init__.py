"""The link to the layer below, which exchanges call while they run."""
