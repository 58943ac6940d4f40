"""The fleet's watcher: one owner gathers the members' gauges and publishes one view with its epoch and
age."""
