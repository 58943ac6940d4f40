"""The fleet's monitor: the owner of one duty gathers the gauges of all members and publishes them as a view,
with its epoch and the age of each reading."""
