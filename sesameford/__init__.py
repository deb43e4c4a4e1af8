"""A router fleet that shares model and application capacity fairly."""

__version__ = "0.1.0"
