"""Caller protocol ``/operate/``: operators query and command the system.

``GET /operate/catalogue`` returns the catalogue in force and its revision;
``PUT`` replaces it where ``revision`` is still in force. ``GET
/operate/show/<collection>`` lists what this VM knows.
"""

import hmac

import attrs
import orjson
import result

from mothworks import (
    calls,
    catalogue,
    configuration,
    documents,
    health,
    kernel,
    membership,
    objects,
    outcomes,
    placement,
    plugins,
    settings,
)


@attrs.frozen
class Change:
    """A catalogue that is to take the place of another.

    :param revision: the revision that the change is based on.
    :param why: the operator's reason.
    :param catalogue: the new catalogue.
    """

    revision: int
    why: str
    catalogue: catalogue.Catalogue


@plugins.register(plugins.CALLER_PROTOCOL, "/operate/")
class Operate:
    """Serves the paths below ``/operate/``.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        self.operators = node_kernel.settings.operators
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Answer one call.

        :param call: the call.
        """
        operator = self._operator(call)
        if operator is None:
            refusal = outcomes.invalid(
                "a valid operator's key is needed", "invalid_api_key", 401
            )
            return calls.refuse(refusal)
        match (call.method, call.path):
            case ("GET", "/operate/catalogue"):
                return self._catalogue()
            case ("PUT", "/operate/catalogue"):
                return self._apply(call, operator)
            case ("GET", "/operate/show/models"):
                return calls.json_reply(self._models())
            case ("GET", "/operate/show/endpoints"):
                return calls.json_reply(self._endpoints())
            case ("GET", "/operate/show/peers"):
                live = self.membership.live()
                return calls.json_reply([attrs.asdict(member) for member in live])
            case (_, path):
                return calls.refuse(
                    outcomes.invalid(f"nothing is at {path}", "not_found", 404)
                )

    def _operator(self, call: calls.Call) -> settings.Operator | None:
        key_hash = call.bearer_hash() or ""
        for operator in self.operators:
            if hmac.compare_digest(operator.key_sha256, key_hash):
                return operator
        return None

    def _catalogue(self) -> calls.Reply:
        declared = documents.plain(self.configuration.index.catalogue)
        return calls.json_reply(
            {"revision": self.configuration.revision, "catalogue": declared}
        )

    def _apply(self, call: calls.Call, operator: settings.Operator) -> calls.Reply:
        if operator.role is not settings.Role.OPERATOR:
            refusal = outcomes.invalid("this needs the role operator", "forbidden", 403)
            return calls.refuse(refusal)
        match call.body().and_then(_change):
            case result.Ok(change):
                pass
            case result.Err(refusal):
                return calls.refuse(refusal)
        applied = self.configuration.apply(
            change.catalogue, change.revision, operator.name, change.why
        )
        match applied:
            case result.Ok(revision):
                return calls.json_reply({"revision": revision})
            case result.Err(configuration.Stale(revision)):
                message = (
                    f"the change is based on revision {change.revision}, but "
                    f"revision {revision} is in force; nothing was changed"
                )
                return calls.refuse(outcomes.invalid(message, "stale", 409))
            case result.Err(objects.Unavailable(reason)):
                message = f"the object API does not answer: {reason}"
                return calls.refuse(outcomes.overloaded(message, 5.0, "object_api"))
            case result.Err(objects.TooLarge(key, size)):
                message = f"{key} would take {size} bytes, over the platform's bound"
                return calls.refuse(outcomes.invalid(message, "too_large", 413))
            case result.Err(configuration.Uncertain(revision, reason)):
                message = (
                    f"whether revision {revision} was accepted is not known "
                    f"({reason}); look before you repeat the change"
                )
                return calls.refuse(outcomes.unknown(message))

    def _models(self) -> list[dict]:
        by_model = self.placement.endpoints_by_model
        index = self.configuration.index
        return [
            {"model": name, "endpoints": sorted(by_model.get(name, ()))}
            for name in (*index.model_by_name, *index.adapter_by_name)
        ]

    def _endpoints(self) -> list[dict]:
        rows = []
        for endpoint in self.configuration.index.catalogue.endpoints:
            status = self.placement.status_by_endpoint.get(endpoint.name)
            owner = self.health.owner(endpoint)
            rows.append(
                {
                    "endpoint": endpoint.name,
                    "data_centre": endpoint.data_centre,
                    "owner": owner.name if owner else None,
                    "state": status.state if status else "unknown",
                    "models": list(status.models) if status else [],
                }
            )
        return rows


def _change(body: bytes) -> result.Result[Change, outcomes.Refusal]:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        message = f"the body is not valid JSON: {error}"
        return result.Err(outcomes.invalid(message, "invalid_json"))
    checked = documents.structure(value, Change, "change").and_then(
        lambda change: catalogue.check(change.catalogue, "catalogue").map(
            lambda _: change
        )
    )
    return checked.map_err(
        lambda error: outcomes.invalid(str(error), "invalid_catalogue", 422)
    )
