"""Stand-ins for the platform and upstreams; demos and experiments."""
