"""Stand-ins for the systems that sesameford meets: targets and faulty networks."""
