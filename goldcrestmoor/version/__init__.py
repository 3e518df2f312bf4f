"""What lives for one version of configuration or weights."""
