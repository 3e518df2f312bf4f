"""Weight versions: published and target versions, and the orders to load them."""
