"""The statements of the operators' language, parsed."""

import enum
from typing import Literal

import msgspec


class Subject(enum.StrEnum):
    """What ``SHOW`` can show."""

    UPSTREAMS = "upstreams"
    HOSTS = "hosts"
    ACCOUNTS = "accounts"
    POOLS = "pools"
    STEPS = "steps"
    REQUESTS = "requests"
    VERSIONS = "versions"
    VERSION = "version"


class Condition(msgspec.Struct, frozen=True):
    """One comparison of a ``WHERE`` part.

    :param column: the column's name.
    :param operator: one of ``= != < <= > >=``.
    :param value: what the column is compared with.
    """

    column: str
    operator: str
    value: str | int


class Show(msgspec.Struct, frozen=True):
    """``SHOW``: rows of one subject.

    :param subject: what to show.
    :param conditions: all of them must hold.
    :param order_by: the column to sort by; empty for the source's own order.
    :param descending: whether the largest comes first.
    :param limit: the most rows to show; None for all.
    """

    subject: Subject
    conditions: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None


class Explain(msgspec.Struct, frozen=True):
    """``EXPLAIN``: the decisions about one request or host.

    :param subject: ``request`` or ``host``.
    :param name: its id.
    """

    subject: Literal["request", "host"]
    name: str


class Option(msgspec.Struct, frozen=True):
    """One option of an account or upstream, as it was written.

    :param name: the field, or ``cut_off.`` and a field of its terms, or
        ``delivery.`` and a field of its rules.
    :param value: the field's new value.
    """

    name: str
    value: str | int | bool | tuple[str, ...]


class CreateAccount(msgspec.Struct, frozen=True):
    """``CREATE ACCOUNT``."""

    name: str
    options: tuple[Option, ...]


class AlterAccount(msgspec.Struct, frozen=True):
    """``ALTER ACCOUNT``."""

    name: str
    options: tuple[Option, ...]


class DropAccount(msgspec.Struct, frozen=True):
    """``DROP ACCOUNT``."""

    name: str


class CreatePool(msgspec.Struct, frozen=True):
    """``CREATE POOL``."""

    name: str
    kind: str
    model: str = ""


class DropPool(msgspec.Struct, frozen=True):
    """``DROP POOL``."""

    name: str


class CreateUpstream(msgspec.Struct, frozen=True):
    """``CREATE UPSTREAM``."""

    name: str
    options: tuple[Option, ...]


class DropUpstream(msgspec.Struct, frozen=True):
    """``DROP UPSTREAM``."""

    name: str


class SetDraining(msgspec.Struct, frozen=True):
    """``DRAIN`` and ``RESUME``.

    :param subject: ``upstream`` or ``host``.
    :param name: its name.
    :param draining: whether it is to receive no new work.
    """

    subject: Literal["upstream", "host"]
    name: str
    draining: bool


class LoadVersion(msgspec.Struct, frozen=True):
    """``LOAD VERSION``: have every engine of a model load a weight version."""

    model: str
    version: int


class Script(msgspec.Struct, frozen=True):
    """One text: a single question or order, or several changes.

    :param statements: the statements, in order.
    :param base_version: the version that the changes were written against; None
        when the text does not say.
    """

    statements: tuple[object, ...]
    base_version: int | None = None
