"""Finding the holder of a step and forwarding messages to it."""

import logging

from goldcrestmoor.errors import ErrorKind, ServiceError

log = logging.getLogger("goldcrestmoor.steps")

MAX_ATTEMPTS = 3
_FAILOVER_KINDS = (ErrorKind.PEER_UNREACHABLE, ErrorKind.DRAINING)


class StepRouter:
    """Forward messages about a step to its holder.

    :param links: the ``PeerLinks``.
    :param ownership: the ``Ownership``.
    :param store: the :class:`~goldcrestmoor.version.steps.step_store.StepStore`.
    :param lease: the ``ConfigurationLease``.
    :param host_id: this host.
    """

    __slots__ = ("_links", "_ownership", "_store", "_lease", "_host_id")

    def __init__(self, *, links, ownership, store, lease, host_id):
        self._links = links
        self._ownership = ownership
        self._store = store
        self._lease = lease
        self._host_id = host_id

    async def call_holder(self, account, step, message, timeout_ms, handle_locally):
        """Send a message to the holder, or to the next candidate that accepts it.

        :param account: the account's name.
        :param step: the step's name.
        :param message: the message.
        :param timeout_ms: how long to wait for each host, in milliseconds.
        :param handle_locally: the message handler of this host.
        :return: the reply.
        """
        found_account = self.account(account)
        first = self._ownership.holder_of_step(found_account, step)
        others = self._store.candidate_hosts(account, step, found_account.zone)
        *hosts, last = self._candidates(first, others)
        for host_id in hosts:
            try:
                return await self._call(host_id, message, timeout_ms, handle_locally)
            except ServiceError as e:
                if e.kind not in _FAILOVER_KINDS:
                    raise
                log.info(
                    "Host %s does not hold step %s; trying the next host: %s",
                    host_id,
                    step,
                    e,
                )
        return await self._call(last, message, timeout_ms, handle_locally)

    def _candidates(self, first, others):
        hosts = list(dict.fromkeys([first, *others]))[:MAX_ATTEMPTS]
        return hosts if self._host_id in hosts else [*hosts, self._host_id]

    async def _call(self, host_id, message, timeout_ms, handle_locally):
        if host_id == self._host_id:
            return await handle_locally(host_id, message)
        return await self._links.call(host_id, message, timeout_ms)

    def is_local_holder(self, account, step):
        """Return whether this host is a step's holder by its own configuration.

        :param account: the account's name.
        :param step: the step's name.
        """
        found_account = self._lease.view().configuration.accounts_by_name.get(account)
        if found_account is None:
            return True
        return self._ownership.holder_of_step(found_account, step) == self._host_id

    def zone(self, account):
        """Return an account's zone; empty when the account is not served here.

        :param account: the account's name.
        """
        found_account = self._lease.view().configuration.accounts_by_name.get(account)
        return found_account.zone if found_account else ""

    def model(self, pool):
        """Return the model of a pool; empty when the pool is not known here.

        :param pool: the pool's name.
        """
        found_pool = self._lease.view().configuration.pools_by_name.get(pool)
        return found_pool.model if found_pool else ""

    def account(self, name):
        """Return an account.

        :param name: its name.
        :raises ServiceError: when this host does not serve the account:
            ``CONFIG_LAPSED`` while its lease is expired, else ``FORBIDDEN``.
        """
        view = self._lease.view()
        account = view.configuration.accounts_by_name.get(name)
        if account is None:
            kind = (
                ErrorKind.CONFIG_LAPSED if view.lease_expired else ErrorKind.FORBIDDEN
            )
            raise ServiceError(kind, "This host does not serve the account.")
        return account
