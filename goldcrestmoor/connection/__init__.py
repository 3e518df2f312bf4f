"""HTTP connections to upstreams, links to peers, and their health state."""
