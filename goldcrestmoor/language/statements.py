"""Parsed statements of the operator language."""

import enum
from typing import Literal

import msgspec


class Subject(enum.StrEnum):
    """The subjects of ``SHOW``."""

    UPSTREAMS = "upstreams"
    HOSTS = "hosts"
    ACCOUNTS = "accounts"
    POOLS = "pools"
    STEPS = "steps"
    REQUESTS = "requests"
    VERSIONS = "versions"
    VERSION = "version"


class Condition(msgspec.Struct, frozen=True):
    """One comparison in a ``WHERE`` clause.

    :param column: the column's name.
    :param operator: one of ``= != < <= > >=``.
    :param value: the value to compare the column with.
    """

    column: str
    operator: str
    value: str | int


class Show(msgspec.Struct, frozen=True):
    """``SHOW``: rows of one subject.

    :param subject: what to show.
    :param conditions: row filters, combined with ``AND``.
    :param order_by: the column to sort by; empty for the order of the source.
    :param descending: whether to sort in descending order.
    :param limit: the maximum number of rows; None for all.
    """

    subject: Subject
    conditions: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None


class Explain(msgspec.Struct, frozen=True):
    """``EXPLAIN``: the decisions about one request or host.

    :param subject: ``request`` or ``host``.
    :param name: the id of the request or host.
    """

    subject: Literal["request", "host"]
    name: str


class Option(msgspec.Struct, frozen=True):
    """One option of an account or upstream, as specified in the script.

    :param name: the field's name; fields of an account's cut-off terms and delivery
        rules are prefixed with ``cut_off.`` and ``delivery.``.
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
    :param name: the name of the upstream or host.
    :param draining: whether to stop sending it new work.
    """

    subject: Literal["upstream", "host"]
    name: str
    draining: bool


class LoadVersion(msgspec.Struct, frozen=True):
    """``LOAD VERSION``: make every engine of a model load a weight version."""

    model: str
    version: int


class Script(msgspec.Struct, frozen=True):
    """A parsed script: a single query or load order, or one or more changes.

    :param statements: the statements, in order.
    :param base_version: the configuration version that the changes are based on;
        None when the script does not specify one.
    """

    statements: tuple[object, ...]
    base_version: int | None = None
