"""Tests of goldcrestmoor."""
