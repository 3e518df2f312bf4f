"""The HTTP routes for trainers."""

import msgspec
from blacksheep import Content, Response

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.request_parsing import read_json
from goldcrestmoor.version.steps.step_messages import PullSamples
from goldcrestmoor.version.steps.steps import (
    GroupSpec,
    Sample,
    Slot,
    StepSpec,
    validate_step_name,
)

DEFAULT_DEADLINE_MS = 3_600_000


class _StrictBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class GroupBody(_StrictBody, frozen=True):
    """One group of a submission."""

    index: int
    prompt: str
    samples: int
    max_tokens: int
    seed: int = 0


class SubmitBody(_StrictBody, frozen=True):
    """The body of ``POST /v1/steps``.

    :param model: the pool whose engines generate the samples.
    :param deadline_ms: how long a holder works on the step, in milliseconds.
    """

    step: str
    model: str
    base_version: int
    groups: tuple[GroupBody, ...]
    deadline_ms: int = DEFAULT_DEADLINE_MS


class PullBody(_StrictBody, frozen=True):
    """The body of ``POST /v1/steps/{step}/pull``.

    :param version: the trainer's weight version.
    :param held: slots whose samples the trainer has.
    :param groups_held: groups of which the trainer has every sample.
    :param wait_ms: how long to wait for the first sample, in milliseconds.
    :param max: the maximum number of samples to return; 0 for the service's limit.
    """

    version: int
    held: tuple[Slot, ...] = ()
    groups_held: tuple[int, ...] = ()
    wait_ms: int = 0
    max: int = 0


class PullAnswer(msgspec.Struct, frozen=True):
    """The response to a pull.

    :param complete: whether the trainer has the complete step with these samples.
    """

    samples: tuple[Sample, ...]
    complete: bool


class StepAnswer(msgspec.Struct, frozen=True):
    """The response to a submission or a cancellation."""

    step: str


class PublishBody(_StrictBody, frozen=True):
    """The body of ``POST /v1/versions``."""

    model: str
    version: int


def register_routes(app, *, authenticator, steps, weights):
    """Register the trainers' routes in an application.

    :param app: the blacksheep application.
    :param authenticator: the ``Authenticator``.
    :param steps: the :class:`~goldcrestmoor.version.steps.step_gateway.StepGateway`.
    :param weights: publishes new weight versions, by its ``publish`` method.
    """

    async def submit(request):
        account, body = await _read_request(authenticator, request, SubmitBody)
        if body.model not in account.pools:
            raise ServiceError(ErrorKind.FORBIDDEN, "The account may not use the pool.")
        groups = tuple(
            GroupSpec(g.index, g.prompt, g.samples, g.max_tokens, g.seed)
            for g in body.groups
        )
        spec = StepSpec(
            account.name,
            body.step,
            body.model,
            body.base_version,
            groups,
            body.deadline_ms,
        )
        await steps.submit(spec)
        return _json_response(StepAnswer(spec.step), 202)

    async def pull(request):
        account, body = await _read_request(authenticator, request, PullBody)
        step = _step_name(request)
        message = PullSamples(
            account.name,
            step,
            body.groups_held,
            body.held,
            body.version,
            max(0, body.wait_ms),
            body.max if body.max > 0 else steps.max_pull_samples,
        )
        answer = await steps.pull(message)
        # The account may have been dropped while the pull was waiting.
        _trainer_account(authenticator, request)
        return _json_response(PullAnswer(answer.samples, answer.complete))

    async def cancel(request):
        account = _trainer_account(authenticator, request)
        step = _step_name(request)
        await steps.cancel(account.name, step)
        return _json_response(StepAnswer(step))

    async def publish(request):
        account, body = await _read_request(authenticator, request, PublishBody)
        if body.version < 1:
            raise ServiceError(ErrorKind.BAD_REQUEST, "Versions start at 1.")
        await weights.publish(body.model, body.version, account.name)
        return _json_response(body)

    app.router.add_post("/v1/steps", submit)
    app.router.add_post("/v1/steps/{step}/pull", pull)
    app.router.add_post("/v1/steps/{step}/cancel", cancel)
    app.router.add_post("/v1/versions", publish)


def _trainer_account(authenticator, request):
    account = authenticator.account(list(request.headers))
    if account.kind != "trainer":
        raise ServiceError(ErrorKind.FORBIDDEN, "The account is not of kind trainer.")
    return account


async def _read_request(authenticator, request, kind):
    """Authenticate before and after reading the body, which may take long."""
    _trainer_account(authenticator, request)
    body = await read_json(request, kind)
    return _trainer_account(authenticator, request), body


def _step_name(request):
    step = request.route_values["step"]
    validate_step_name(step)
    return step


def _json_response(value, status=200):
    content = Content(b"application/json", msgspec.json.encode(value))
    return Response(status, content=content)
