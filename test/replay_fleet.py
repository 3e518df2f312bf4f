"""A fleet at the scale of a deployment, with a control server for replays.

``python -m test.replay_fleet tisza --plan plan.json`` starts it, writes the plan for
``goldcrestmoor replay TRACE --fleet plan.json`` and serves until interrupted.
``--policy queue=fifo,early_refusal=false`` overrides settings, and ``--network``
simulates links between the zones, which traces with a cut require.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import signal

import msgspec

from goldcrestmoor.load import plan as plans
from goldcrestmoor.load.fleet_control import Runs
from goldcrestmoor.load.generate import DEPLOYMENT_BY_NAME
from test.fleet import AccountPlan, Fleet, Plan, PoolPlan
from test.network import Network
from test.standins.server import Server, json_response

CONTROL_ADDRESS = "127.0.0.3"
HOSTS_PER_ZONE = (4, 4, 3)
ENGINES_PER_ZONE = 2
MODEL = "rollout"
TRAINER_SHARE = 4
SLOW_FACTOR = 6
ENGINE_SLOTS = 8
# Slow enough that the engines, not the daemons, bound the duration of a replay.
ENGINE_OPTIONS = {
    "token_ms": 20,
    "mean_tokens": 30,
    "prompt_spread": 1.2,
    "swap_ms": 200,
    "swap_pauses": True,
}
LOST_RESPONSES = 5


def make_plan(
    deployment, policy=None, *, hosts_per_zone=HOSTS_PER_ZONE, terms="", **engine
):
    """Return the plan of a deployment's fleet.

    :param deployment: a ``Deployment`` of :mod:`goldcrestmoor.load.generate`.
    :param policy: overrides of the settings' section ``policy``.
    :param hosts_per_zone: the number of daemons in each zone.
    :param terms: additional clauses of the trainers' ``CREATE ACCOUNT``.
    :param engine: overrides of the engines' options.
    """
    zones = deployment.zones
    options = {**ENGINE_OPTIONS, **engine}
    engines = dict.fromkeys(zones, ENGINES_PER_ZONE)
    applications = dict.fromkeys(zones, 1)
    pools = (deployment.engine_pool, deployment.application_pool)
    trainers = [
        AccountPlan(
            name,
            "trainer",
            f"token-{name}",
            (deployment.engine_pool,),
            share=TRAINER_SHARE if name == deployment.trainer else 1,
            staleness_bound=deployment.staleness_bound,
            zone=zones[0],
            terms=terms,
        )
        for name in (deployment.trainer, *deployment.other_trainers)
    ]
    name = deployment.application
    application = AccountPlan(name, "application", f"token-{name}", pools)
    return Plan(
        hosts_by_zone=dict(zip(zones, hosts_per_zone, strict=True)),
        pools=(
            PoolPlan(pools[0], "engine", engines, MODEL, ENGINE_SLOTS, options),
            PoolPlan(pools[1], "application", applications),
        ),
        accounts=(*trainers, application),
        # Short leases, so that the configuration takes effect within a second or two.
        settings={
            "configuration": {"poll_ms": 200, "lease_ms": 1000, "lease_margin_ms": 200},
            "policy": policy or {},
            "log": {"level": "warning"},
        },
    )


class ReplayFleet:
    """The fleet and its control server; use as an async context manager.

    :param plan: the :class:`~test.fleet.Plan`.
    :param has_network: whether zones can be partitioned.
    """

    def __init__(self, plan, *, has_network=False):
        self.network = Network() if has_network else None
        self.fleet = Fleet(plan, self.network)
        self._server = Server(self._handle, CONTROL_ADDRESS, 0)
        self._killed_engine_tokens = 0

    async def __aenter__(self):
        await self.fleet.__aenter__()
        await self._server.start()
        return self

    async def __aexit__(self, *exception):
        await self._server.close()
        await self.fleet.__aexit__(*exception)

    def replay_plan(self):
        """Return the fleet as seen by a replay."""
        plan = self.fleet.plan
        return plans.Plan(
            urls=self.fleet.urls(),
            token_by_account={a.name: a.token for a in plan.accounts},
            model_by_pool={p.name: p.model for p in plan.pools if p.model},
            staleness_by_account={a.name: a.staleness_bound for a in plan.accounts},
            control_address=CONTROL_ADDRESS,
            control_port=self._server.port,
        )

    async def _handle(self, request):
        match request.method, request.path:
            case "POST", "/faults":
                fault = request.json()
                await self._inject(fault["action"], fault["target"])
                return json_response({})
            case "GET", "/runs":
                runs = await self._runs()
                return json_response(msgspec.to_builtins(runs))
        return json_response({}, 404)

    async def _inject(self, action, target):
        fleet = self.fleet
        match action:
            case "kill":
                await self._record_token_count(target)
                fleet.kill(target)
            case "start":
                await self._start(target)
            case "freeze":
                fleet.freeze(target)
            case "thaw":
                fleet.thaw(target)
            case "outage" | "recover":
                is_on = action == "outage"
                await fleet.control(fleet.platform_control, "outage", on=is_on)
            case "lose":
                control = fleet.platform_control
                await fleet.control(control, "lose_answers", count=LOST_RESPONSES)
            case "slow" | "usual":
                await self._set_speed(target, SLOW_FACTOR if action == "slow" else 1)
            case "cut":
                self.network.cut(target)
            case "mend":
                self.network.mend()
            case _:
                raise AssertionError(f"Unknown fault action {action}.")

    async def _start(self, target):
        if self.fleet.endpoint_by_id[target].pool:
            await self.fleet.start_upstream(target)
        else:
            await self.fleet.start_host(target)

    async def _set_speed(self, target, factor):
        endpoint = self.fleet.endpoint_by_id[target]
        pool = next(p for p in self.fleet.plan.pools if p.name == endpoint.pool)
        token_ms = pool.options["token_ms"] * factor
        await self.fleet.control(endpoint, "set", token_ms=token_ms)

    async def _record_token_count(self, target):
        endpoint = self.fleet.endpoint_by_id[target]
        if endpoint.pool:
            counts = await self.fleet.get_json(endpoint, "/control/counts") or {}
            self._killed_engine_tokens += counts.get("tokens", 0)

    async def _runs(self):
        tokens, runs_by_note = self._killed_engine_tokens, collections.Counter()
        for upstream in self.fleet.upstreams:
            counts = await self.fleet.get_json(upstream, "/control/counts") or {}
            tokens += counts.get("tokens", 0)
            for name, count in counts.get("count_by_id", {}).items():
                method, _, note = name.partition(" ")
                if method == "POST":
                    runs_by_note[note] += count
        return Runs(dict(runs_by_note), tokens)


def parse_policy(text):
    """Parse settings from a text such as ``queue=fifo``."""
    pairs = (pair.split("=") for pair in text.split(",") if pair)
    return {name: _value(value) for name, value in pairs}


def _value(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


async def run(deployment, path, policy, has_network):
    """Run a fleet until SIGINT or SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    plan = make_plan(deployment, policy)
    async with ReplayFleet(plan, has_network=has_network) as fleet:
        path.write_bytes(msgspec.json.encode(fleet.replay_plan()))
        print(f"ready, the plan is in {path}", flush=True)
        await stop.wait()


def main():
    """Parse the arguments and run the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=sorted(DEPLOYMENT_BY_NAME))
    parser.add_argument("--plan", type=pathlib.Path, required=True)
    parser.add_argument("--policy", type=parse_policy, default={})
    parser.add_argument("--network", action="store_true")
    options = parser.parse_args()
    deployment = DEPLOYMENT_BY_NAME[options.deployment]
    asyncio.run(run(deployment, options.plan, options.policy, options.network))


if __name__ == "__main__":
    main()
