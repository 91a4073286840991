"""Thin adapters to the platform, to upstreams and to peers."""
