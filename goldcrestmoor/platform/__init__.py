"""The platform's protocols: names, formats and calls, without any decision logic."""
