"""Request handling: admission, placement, forwarding and idempotency keys."""
