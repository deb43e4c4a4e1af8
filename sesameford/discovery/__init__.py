"""How instances and targets find each other without a list of either."""
