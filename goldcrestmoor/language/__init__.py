"""Operator query and command language."""
