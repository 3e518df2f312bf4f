"""A trainer's calls: submit a batch job, read it, end it."""

import base64
import json

from review.lib import http
from review.lib.deployment import HOSTNAME, route

PREFIX = "/pufi791/"
SERVICE = "lm-pool"


def job_route(**fields):
    """Return the batch job route, as the platform's pages show it."""
    return route(
        "rollout",
        PREFIX,
        "rollout",
        SERVICE,
        **{
            "timeoutMs": 10000,
            "targetLatencyMs": 400,
            "priority": 1,
            "attempts": 3,
            "keepS": 40.0,
            "runAimMs": 7500,
            "singleVersion": False,
            "stickySessions": True,
            "resumable": True,
            **fields,
        },
    )


def engine_service():
    """Return the service of the engines."""
    return {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConns": 160,
        "engine": {"models": [{"name": "m0"}]},
    }


class Trainer:
    """Calls the daemons, each call on a new connection.

    :param deployment: the :class:`~review.lib.deployment.Deployment`.
    :param record: the case's record.
    """

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record

    async def call(self, host, method, target, headers=(), body=b""):
        """Return the response to a call, or None without a whole one."""
        port = self._deployment.host_by_name[host].port
        try:
            connection = await http.Connection.open("127.0.0.1", port)
        except OSError:
            return None
        pairs = [("Host", HOSTNAME), *headers]
        answer = await connection.exchange(method, target, pairs, body)
        connection.close()
        return answer if answer is not None and answer.is_whole else None

    async def submit(self, host, job_id, item_ids, tokens=400, step=0):
        """Submit a job and return the status, or None."""
        items = [
            {
                "id": item_id,
                "path": f"{PREFIX}3/{item_id}",
                "headers": {
                    "Model-Name": "m0",
                    "Token-Count": f"271,{tokens}",
                    "Prompt-Prefix": f"9c2e41:255,{number:06x}:16",
                },
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 271 + tokens,
                "group": f"g{number // 4}",
            }
            for number, item_id in enumerate(item_ids)
        ]
        job = {
            "step": step,
            "model": "m0",
            "minVersion": 1,
            "targetGroups": max(1, len(items) // 4),
            "items": items,
        }
        headers = [("Request-Id", job_id), ("Content-Type", "application/json")]
        answer = await self.call(
            host, "POST", f"{PREFIX}{job_id}", headers, json.dumps(job).encode()
        )
        status = answer.status if answer else None
        self._record(f"client: job {job_id} of {len(items)} items at {host}: {status}")
        return status

    async def results(self, host, job_id, after=0):
        """Return a page of results, or the status, or None."""
        target = f"/lots/{job_id}?after={after}"
        answer = await self.call(host, "GET", target, [("Wait-Ms", 1000)])
        if answer is None or answer.status != 200:
            return answer.status if answer else None
        return json.loads(answer.body)

    async def end(self, host, job_id):
        """End a job and return the status, or None."""
        answer = await self.call(host, "DELETE", f"/lots/{job_id}")
        status = answer.status if answer else None
        self._record(f"client: end of job {job_id} at {host}: {status}")
        return status
