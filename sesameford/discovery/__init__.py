"""Discovery of instances and targets without a configured list of either."""
