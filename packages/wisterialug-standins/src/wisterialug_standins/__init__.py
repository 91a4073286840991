"""Small stand-ins for the platform and upstreams, and tools on them."""
