"""Stand-ins for the systems that sesameford connects to: targets, faulty networks."""
