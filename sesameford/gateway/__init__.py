"""Gateway for requests by host and path: routes, placement, forwarding, its node."""
