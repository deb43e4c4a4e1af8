"""Tools for those who work on sesameford: demo, load and capacity."""
