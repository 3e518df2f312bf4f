"""Execute operator scripts: queries, load orders and configuration changes."""

import functools

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.language import statements as st, tables
from goldcrestmoor.language.changes import apply_changes
from goldcrestmoor.language.parser import parse
from goldcrestmoor.version.configuration.driver import Accepted, Refused, Unknown

EXPLAIN_COLUMNS = ("at_ms", "host", "part", "text")
VERSION_COLUMNS = (
    "platform_version",
    "version_here",
    "lapsed_here",
    "lease_age_ms",
)
ACCOUNT_COLUMNS = (
    "name",
    "kind",
    "pools",
    "share",
    "staleness",
    "zone",
    "hedge",
    "on_version_change",
    "cutoff_serve",
    "cutoff_share",
    "cutoff_staleness",
)
POOL_COLUMNS = ("name", "kind", "model", "upstreams")


class Outcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of a configuration change or a load order.

    :param outcome: ``accepted``, ``refused``, ``unknown`` or ``done``.
    :param version: the new configuration version, the current one when refused, or
        the weight version of a load order.
    :param message: a human-readable description.
    :param code: the error kind if the change was not accepted.
    """

    outcome: str
    version: int
    message: str
    code: ErrorKind | None = None


class Executor:
    """Execute operator scripts on this host.

    :param driver: the configuration driver.
    :param lease: this host's configuration lease.
    :param explainer: the :class:`~goldcrestmoor.language.explain.Explainer`.
    :param load_version: async callback that makes all engines of a model load a
        version; takes the model and the version and returns a message. Without it,
        load orders are rejected.
    """

    __slots__ = ("_driver", "_lease", "_explainer", "_load_version", "_source_by_name")

    def __init__(self, *, driver, lease, explainer, load_version=None):
        self._driver = driver
        self._lease = lease
        self._explainer = explainer
        self._load_version = load_version
        self._source_by_name = {}
        self.add_source("accounts", self._list_accounts)
        self.add_source("pools", self._list_pools)
        self.add_source("version", self._show_version)

    def add_source(self, name, source):
        """Register the data source of a ``SHOW`` subject.

        :param name: the subject, such as ``upstreams``.
        :param source: async callable without arguments that returns columns and rows.
        """
        self._source_by_name[name] = source

    async def execute(self, text, base_version=None):
        """Execute an operator script.

        :param text: the script.
        :param base_version: the configuration version that the changes are based on;
            ``AT VERSION`` in the script takes precedence.
        :return: a :class:`~goldcrestmoor.language.tables.Table` or an
            :class:`Outcome`.
        :raises ServiceError: when the script is malformed, or a query or load order
            fails.
        """
        script = parse(text)
        match script.statements:
            case (st.Show() as show,):
                return await self._show(show)
            case (st.Explain() as explain,):
                return await self._explain(explain)
            case (st.LoadVersion() as order,):
                return await self._load(order)
        if script.base_version is not None:
            base_version = script.base_version
        apply = functools.partial(apply_changes, changes=script.statements)
        return _to_outcome(await self._driver.change(base_version, apply))

    async def _show(self, show):
        source = self._source_by_name.get(show.subject)
        if source is None:
            raise ServiceError(
                ErrorKind.NOT_FOUND, f"This host has no data on {show.subject}."
            )
        columns, rows = await source()
        return tables.select(columns, rows, show)

    async def _explain(self, explain):
        if explain.subject == "request":
            pairs = await self._explainer.explain_request(explain.name)
        else:
            pairs = await self._explainer.explain_host(explain.name)
        rows = ((d.at_ms, host, d.part, d.text) for host, d in pairs)
        return tables.Table(EXPLAIN_COLUMNS, tuple(rows))

    async def _load(self, order):
        if self._load_version is None:
            raise ServiceError(
                ErrorKind.NOT_FOUND, "This host does not send load orders."
            )
        message = await self._load_version(order.model, order.version)
        return Outcome("done", order.version, message)

    async def _list_accounts(self):
        accounts = self._lease.configuration.accounts_by_name
        return ACCOUNT_COLUMNS, [_account_row(accounts[name]) for name in accounts]

    async def _list_pools(self):
        configuration = self._lease.configuration
        rows = (
            (p.name, p.kind, p.model, len(configuration.upstreams_of(p.name)))
            for p in configuration.pools_by_name.values()
        )
        return POOL_COLUMNS, list(rows)

    async def _show_version(self):
        try:
            platform_version = (await self._driver.read_current()).version
        except ServiceError:
            platform_version = "unknown"
        lease = self._lease
        lease_expired = lease.view().lease_expired
        row = (platform_version, lease.version, lease_expired, lease.lease_age_ms())
        return VERSION_COLUMNS, [row]


def _account_row(account):
    return (
        account.name,
        account.kind,
        account.pools,
        account.share,
        account.staleness_bound,
        account.zone,
        account.delivery.hedge,
        account.delivery.on_version_change,
        account.cut_off.serve,
        account.cut_off.share,
        account.cut_off.staleness_bound,
    )


def _to_outcome(answer):
    match answer:
        case Accepted(version=version, elapsed_ms=elapsed_ms):
            message = f"Version {version} is in effect everywhere."
            message += f" It took {elapsed_ms} ms."
            return Outcome("accepted", version, message)
        case Refused(reason=reason, version=version, kind=kind):
            return Outcome("refused", version, reason, kind)
        case Unknown(message=message):
            return Outcome("unknown", 0, message, ErrorKind.CONFIG_UNKNOWN)
    raise ServiceError(
        ErrorKind.INTERNAL, "The configuration driver returned an unexpected result."
    )
