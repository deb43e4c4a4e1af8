"""Measurements of sesameford on one machine."""
