"""The table client's types, or the same ones where the client is not there."""

import sys
import types

import msgspec

try:
    from goldcrestmoor.adapters import table
except ImportError:
    table = types.ModuleType("goldcrestmoor.adapters.table")
    for name, fields in {
        "Row": ["key", "version", "value"],
        "Check": ["table", "key", "version"],
        "Write": ["table", "key", "value"],
        "Committed": ["version_by_key"],
        "CheckFailed": ["row"],
    }.items():
        setattr(table, name, msgspec.defstruct(name, fields, frozen=True))
    sys.modules["goldcrestmoor.adapters.table"] = table
