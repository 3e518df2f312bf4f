"""Apply configuration changes and validate the resulting configuration."""

import ipaddress
import re

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.language import statements as st
from goldcrestmoor.version.configuration.document import (
    Account,
    Pool,
    Upstream,
    UpstreamKind,
)

NAME_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}")
MAX_PORT = 65535


def apply_changes(configuration, changes):
    """Apply changes to a configuration atomically and return the result.

    :param configuration: the configuration to change.
    :param changes: statements, applied in order.
    :return: the new configuration, with the version number unchanged.
    :raises ServiceError: ``BAD_REQUEST`` or ``NOT_FOUND`` when a change is invalid,
        ``CONFIG_REFUSED`` when the result is inconsistent.
    """
    for change in changes:
        configuration = _apply(configuration, change)
    _check(configuration)
    return configuration


def _apply(configuration, change):
    accounts = configuration.accounts_by_name
    pools = configuration.pools_by_name
    upstreams = configuration.upstreams_by_name
    match change:
        case st.CreateAccount(name=name, options=options):
            fields = {"name": name} | _nest_options(options)
            created = _with_added(accounts, name, _convert(fields, Account))
            return _replace(configuration, accounts_by_name=created)
        case st.AlterAccount(name=name, options=options):
            altered = _alter_account(_require(accounts, name, "account"), options)
            return _replace(configuration, accounts_by_name=accounts | {name: altered})
        case st.DropAccount(name=name):
            remaining = _with_removed(accounts, name, "account")
            return _replace(configuration, accounts_by_name=remaining)
        case st.CreatePool(name=name, kind=kind, model=model):
            created = _with_added(pools, name, Pool(name, UpstreamKind(kind), model))
            return _replace(configuration, pools_by_name=created)
        case st.DropPool(name=name):
            remaining = _with_removed(pools, name, "pool")
            return _replace(configuration, pools_by_name=remaining)
        case st.CreateUpstream(name=name, options=options):
            fields = {"name": name} | _nest_options(options)
            created = _with_added(upstreams, name, _convert(fields, Upstream))
            return _replace(configuration, upstreams_by_name=created)
        case st.DropUpstream(name=name):
            remaining = _with_removed(upstreams, name, "upstream")
            return _replace(configuration, upstreams_by_name=remaining)
        case st.SetDraining():
            return _set_draining(configuration, change)
    raise ServiceError(
        ErrorKind.BAD_REQUEST, "The statement is not a configuration change."
    )


def _set_draining(configuration, change):
    if change.subject == "host":
        others = set(configuration.draining_hosts) - {change.name}
        hosts = others | {change.name} if change.draining else others
        return _replace(configuration, draining_hosts=tuple(sorted(hosts)))
    upstreams = configuration.upstreams_by_name
    upstream = _require(upstreams, change.name, "upstream")
    changed = _replace(upstream, draining=change.draining)
    return _replace(configuration, upstreams_by_name=upstreams | {change.name: changed})


_replace = msgspec.structs.replace


def _require(by_name, name, noun):
    if name not in by_name:
        raise ServiceError(ErrorKind.NOT_FOUND, f"There is no {noun} {name}.")
    return by_name[name]


def _with_added(by_name, name, item):
    if name in by_name:
        raise ServiceError(ErrorKind.BAD_REQUEST, f"{name} already exists.")
    if not NAME_PATTERN.fullmatch(name):
        raise ServiceError(ErrorKind.BAD_REQUEST, f"{name!r} is not a valid name.")
    return by_name | {name: item}


def _with_removed(by_name, name, noun):
    _require(by_name, name, noun)
    return {key: item for key, item in by_name.items() if key != name}


def _nest_options(options):
    fields = {}
    for option in options:
        section, _, field = option.name.rpartition(".")
        target = fields.setdefault(section, {}) if section else fields
        if field in target:
            raise ServiceError(
                ErrorKind.BAD_REQUEST, f"{option.name} is specified twice."
            )
        target[field] = option.value
    return fields


def _alter_account(account, options):
    fields = msgspec.to_builtins(account)
    for name, value in _nest_options(options).items():
        fields[name] = fields[name] | value if isinstance(value, dict) else value
    return _convert(fields, Account)


def _convert(fields, cls):
    try:
        return msgspec.convert(fields, cls)
    except msgspec.ValidationError as e:
        raise ServiceError(
            ErrorKind.BAD_REQUEST, f"{cls.__name__} {fields['name']}: {e}."
        ) from e


def _check(configuration):
    _check_accounts(configuration)
    _check_pools(configuration)
    _check_upstreams(configuration)


def _check_accounts(configuration):
    account_by_token = {}
    for name, account in configuration.accounts_by_name.items():
        other = account_by_token.setdefault(account.token_hash, name)
        if other != name:
            _reject(f"Accounts {other} and {name} have the same token.")
        for pool in account.pools:
            if pool not in configuration.pools_by_name:
                _reject(f"Account {name} uses pool {pool}, which does not exist.")
        if account.share < 1 or account.cut_off.share < 1:
            _reject(f"Account {name} must have shares of at least 1.")
        if account.cut_off.staleness_bound > account.staleness_bound:
            _reject(
                f"Account {name} has a cut-off staleness bound above its "
                f"staleness bound of {account.staleness_bound}."
            )


def _check_pools(configuration):
    for name, pool in configuration.pools_by_name.items():
        if pool.kind == UpstreamKind.ENGINE and not pool.model:
            _reject(f"Engine pool {name} requires a MODEL.")


def _check_upstreams(configuration):
    upstream_by_endpoint = {}
    for name, upstream in configuration.upstreams_by_name.items():
        if upstream.pool not in configuration.pools_by_name:
            _reject(
                f"Upstream {name} is in pool {upstream.pool}, which does not exist."
            )
        if not _is_ip_address(upstream.address):
            _reject(
                f"Upstream {name} requires an IP address, got {upstream.address!r}."
            )
        if not 1 <= upstream.port <= MAX_PORT:
            _reject(f"Upstream {name} requires a port from 1 to {MAX_PORT}.")
        if upstream.slots < 1:
            _reject(f"Upstream {name} requires at least 1 slot.")
        # Two upstreams for one server would each admit work up to their own slot limit.
        endpoint = (upstream.address, upstream.port)
        other = upstream_by_endpoint.setdefault(endpoint, name)
        if other != name:
            _reject(f"Upstreams {other} and {name} have the same address and port.")


def _is_ip_address(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _reject(reason):
    raise ServiceError(ErrorKind.CONFIG_REFUSED, reason)
