"""Tests of the operator language, from the script to the response."""

import asyncio
import contextlib
import io
import os
import types
import unittest
from unittest import mock

import blacksheep
import msgspec
import uvicorn
from blacksheep.server.routing import Router

from goldcrestmoor import util
from goldcrestmoor.commands.ask import ask
from goldcrestmoor.errors import ErrorKind, ServiceError, UserError
from goldcrestmoor.language import statements as st
from goldcrestmoor.language.changes import apply_changes
from goldcrestmoor.language.executor import Executor
from goldcrestmoor.language.explain import Explainer
from goldcrestmoor.language.parser import parse
from goldcrestmoor.language.routes import register_routes
from goldcrestmoor.process.decision_log import DecisionLog
from goldcrestmoor.version.configuration.document import (
    Configuration,
    VersionChangePolicy,
)
from test import _common
from test._configuration import INITIAL, World

UPSTREAM_ROWS = [("u1", "zone-a", 4), ("u2", "zone-b", 16), ("u3", "zone-a", 8)]


class ParserTest(unittest.TestCase):
    def test_keywords_are_not_case_sensitive(self):
        text = "show Upstreams WHERE zone = 'a b' and slots >= 3 ORDER by name desc"
        show = parse(text + " LIMIT 2").statements[0]
        conditions = (
            st.Condition("zone", "=", "a b"),
            st.Condition("slots", ">=", 3),
        )
        expected = st.Show(st.Subject.UPSTREAMS, conditions, "name", True, 2)
        self.assertEqual(show, expected)

    def test_names_may_begin_like_keywords(self):
        for name in ("on-call", "shower", "pool.1", "version", "account"):
            script = parse(f"CREATE POOL {name} KIND application")
            self.assertEqual(script.statements[0].name, name)

    def test_orders_and_changes(self):
        for text, expected in (
            ("EXPLAIN REQUEST '9f'", st.Explain("request", "9f")),
            ("explain host host-a1", st.Explain("host", "host-a1")),
            ("DRAIN UPSTREAM u1", st.SetDraining("upstream", "u1", True)),
            ("RESUME HOST h1;", st.SetDraining("host", "h1", False)),
            ("LOAD VERSION 7 FOR MODEL m", st.LoadVersion("m", 7)),
            ("DROP POOL lm -- no longer used", st.DropPool("lm")),
        ):
            self.assertEqual(parse(text).statements, (expected,), text)

    def test_the_base_version_is_one_for_all_changes(self):
        script = parse("DROP ACCOUNT a AT VERSION 4; DROP ACCOUNT b")
        self.assertEqual((len(script.statements), script.base_version), (2, 4))
        with self.assertRaises(ServiceError):
            parse("DROP ACCOUNT a AT VERSION 4; DROP ACCOUNT b AT VERSION 5")

    def test_malformed_texts_give_the_position_and_what_was_expected(self):
        for text, place, expected in (
            ("", "line 1, column 1", "SHOW"),
            ("SHOW", "line 1, column 5", "SUBJECT"),
            ("SHOW HOSTS\nLIMIT x", "line 2, column 7", "INT"),
            ("SHOW HOSTS LIMIT @", "line 1, column 18", "INT"),
            ("DROP TABLE t", "line 1, column 6", "ACCOUNT"),
            ("CREATE POOL lm KIND tank", "line 1, column 21", "POOL_KIND"),
            ("ALTER ACCOUNT a TOKEN 'x", "line 1, column 23", "STRING"),
        ):
            with self.assertRaises(ServiceError, msg=text) as caught:
                parse(text)
            self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)
            self.assertIn(place, caught.exception.message, text)
            self.assertIn(expected, caught.exception.message, text)

    def test_questions_are_not_joined_with_changes(self):
        with self.assertRaises(ServiceError):
            parse("DROP ACCOUNT a; SHOW ACCOUNTS")


class ChangesTest(unittest.TestCase):
    def setUp(self):
        self.configuration = self.apply(INITIAL, Configuration())

    def apply(self, text, configuration=None):
        base = configuration or self.configuration
        return apply_changes(base, parse(text).statements)

    def test_an_account_keeps_what_is_not_altered(self):
        changed = self.apply(
            "ALTER ACCOUNT tisza HEDGE off ON VERSION CHANGE cancel CUTOFF SERVE off"
        )
        account = changed.accounts_by_name["tisza"]
        self.assertEqual((account.share, account.staleness_bound), (4, 3))
        self.assertEqual(account.token_hash, util.hash_token("a"))
        self.assertFalse(account.delivery.hedge)
        self.assertEqual(account.delivery.on_version_change, VersionChangePolicy.CANCEL)
        self.assertEqual((account.cut_off.serve, account.cut_off.share), (False, 2))

    def test_draining(self):
        drained = self.apply("DRAIN UPSTREAM u1; DRAIN HOST h1")
        self.assertTrue(drained.upstreams_by_name["u1"].draining)
        self.assertEqual(drained.draining_hosts, ("h1",))
        self.assertEqual(
            self.apply("RESUME UPSTREAM u1; RESUME HOST h1", drained),
            self.configuration,
        )

    def test_contradictions_are_refused(self):
        for text, kind in (
            ("DROP POOL lm", ErrorKind.CONFIG_REFUSED),
            ("DROP ACCOUNT gone", ErrorKind.NOT_FOUND),
            ("CREATE POOL lm KIND engine MODEL m", ErrorKind.BAD_REQUEST),
            ("CREATE POOL p KIND engine", ErrorKind.CONFIG_REFUSED),
            ("ALTER ACCOUNT derwent TOKEN 'a'", ErrorKind.CONFIG_REFUSED),
            ("ALTER ACCOUNT tisza STALENESS 1", ErrorKind.CONFIG_REFUSED),
            ("ALTER ACCOUNT tisza SHARE 0", ErrorKind.CONFIG_REFUSED),
            ("ALTER ACCOUNT tisza SHARE 1 SHARE 2", ErrorKind.BAD_REQUEST),
            ("CREATE ACCOUNT c KIND trainer", ErrorKind.BAD_REQUEST),
            ("CREATE UPSTREAM u POOL lm ZONE z PORT 1", ErrorKind.BAD_REQUEST),
            (
                "CREATE UPSTREAM u POOL lm ZONE z ADDRESS 'name' PORT 1",
                ErrorKind.CONFIG_REFUSED,
            ),
            (
                "CREATE UPSTREAM u POOL lm ZONE z ADDRESS '127.0.0.1' PORT 1",
                ErrorKind.CONFIG_REFUSED,
            ),
        ):
            with self.assertRaises(ServiceError, msg=text) as caught:
                self.apply(text)
            self.assertEqual(caught.exception.kind, kind, text)


class AskTest(unittest.IsolatedAsyncioTestCase):
    """Tests the ask command against a real HTTP server; the rest is faked."""

    async def asyncSetUp(self):
        self.world = World(2)
        await self.world.set_up()
        self.executor = self._make_executor()
        # Applications share one router unless each is given its own.
        app = blacksheep.Application(router=Router())
        register_routes(
            app,
            executor=self.executor,
            operator_token_hash=util.hash_token(_common.OPERATOR_TOKEN),
        )
        port = _common.free_port()
        self.url = f"http://127.0.0.1:{port}"
        self.server = uvicorn.Server(
            uvicorn.Config(app, host="127.0.0.1", port=port, log_config=None)
        )
        self.server_task = asyncio.create_task(self.server.serve())
        await _common.eventually(lambda: self.server.started)

    async def asyncTearDown(self):
        self.server.should_exit = True
        await self.server_task

    def _make_executor(self):
        self.explainers = []
        for name, host in self.world.hosts.items():
            decisions = DecisionLog(self.world.clock)
            decisions.record("admission", "r1", f"Admitted by {name}.")
            explainer = Explainer(
                clock=self.world.clock,
                decisions=decisions,
                links=host.links,
                membership=self.world.network,
                host_id=name,
                zone="zone-a",
            )
            self.explainers.append(explainer)
        host = self.world.hosts["h0"]
        executor = Executor(
            driver=host.driver, lease=host.lease, explainer=self.explainers[0]
        )

        async def upstreams():
            return ("name", "zone", "slots"), UPSTREAM_ROWS

        executor.add_source("upstreams", upstreams)
        return executor

    async def ask(self, text, **options):
        """Return the output of the command and its exit code."""
        options = {"url": self.url, "token": _common.OPERATOR_TOKEN} | options
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            try:
                await asyncio.to_thread(ask, text, **options)
            except UserError as e:
                return str(e), e.exit_code
        return output.getvalue(), 0

    async def test_show_filters_sorts_and_limits(self):
        text = "SHOW UPSTREAMS WHERE zone = zone-a ORDER BY slots DESC LIMIT 1"
        output, code = await self.ask(text, json=True)
        table = msgspec.json.decode(output)
        self.assertEqual((table["rows"], code), ([["u3", "zone-a", 8]], 0))
        output, _ = await self.ask("SHOW UPSTREAMS WHERE slots > 4")
        self.assertEqual([line[:2] for line in output.splitlines()[2:]], ["u2", "u3"])
        message, code = await self.ask("SHOW UPSTREAMS WHERE size = 1")
        self.assertIn("name, zone, slots", message)
        self.assertEqual(code, 2)

    async def test_own_sources(self):
        for subject, expected in (
            ("ACCOUNTS", "tisza"),
            ("POOLS", "engine"),
            ("VERSION", "platform_version"),
        ):
            output, _ = await self.ask(f"SHOW {subject}")
            self.assertIn(expected, output)
        _, code = await self.ask("SHOW STEPS")
        self.assertEqual(code, 4)

    async def test_a_change_is_accepted_and_a_stale_one_refused(self):
        output, code = await self.ask("ALTER ACCOUNT tisza SHARE 9 AT VERSION 1")
        self.assertEqual((output[:20], code), ("accepted: Version 2 ", 0))
        message, code = await self.ask("ALTER ACCOUNT tisza SHARE 8 AT VERSION 1")
        self.assertIn("refused: ", message)
        self.assertIn("current version is 2", message)
        self.assertEqual(code, 9)

    async def test_explain_collects_from_hosts(self):
        output, _ = await self.ask("EXPLAIN REQUEST r1")
        self.assertIn("Admitted by h0.", output)
        self.assertIn("Admitted by h1.", output)
        self.world.network.silent = {"h1"}
        output, _ = await self.ask("EXPLAIN REQUEST r1")
        self.assertNotIn("Admitted by h1.", output)
        _, code = await self.ask("EXPLAIN HOST h1")
        self.assertEqual(code, 6)

    async def test_a_wrong_token_is_refused(self):
        for token in ("wrong", "", "\u00e9"):
            _, code = await self.ask("SHOW VERSION", token=token)
            self.assertEqual(code, 3)

    async def test_the_token_and_the_text_may_come_from_elsewhere(self):
        variables = {"GOLDCRESTMOOR_TOKEN": _common.OPERATOR_TOKEN}
        with mock.patch.dict(os.environ, variables):
            _, code = await self.ask("SHOW POOLS", token="")
        self.assertEqual(code, 0)
        _, code = await self.ask("", file=os.devnull + "/none")
        self.assertEqual(code, 2)

    async def test_a_lost_connection_leaves_a_change_unknown(self):
        def drop(reader, writer):
            writer.transport.abort()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        url = f"http://127.0.0.1:{port}"
        answer = await self.ask("DROP ACCOUNT tisza", url=url)
        self.assertEqual(answer, ("unknown, ask SHOW VERSION", 7))
        _, code = await self.ask("SHOW ACCOUNTS", url=url)
        self.assertEqual(code, 6)
        server.close()
        await server.wait_closed()
        _, code = await self.ask("DROP ACCOUNT tisza", url=url)
        self.assertEqual(code, 6)

    async def test_load_version_goes_to_its_handler(self):
        _, code = await self.ask("LOAD VERSION 3 FOR MODEL m")
        self.assertEqual(code, 4)

        async def load(model, version):
            return f"{model} loads {version}."

        host = self.world.hosts["h0"]
        executor = Executor(
            driver=host.driver,
            lease=host.lease,
            explainer=types.SimpleNamespace(),
            load_version=load,
        )
        outcome = await executor.execute("LOAD VERSION 3 FOR MODEL m")
        self.assertEqual((outcome.outcome, outcome.message), ("done", "m loads 3."))
