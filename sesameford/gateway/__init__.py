"""Requests by host and path: routes, placement, forwarding, and the node around."""
