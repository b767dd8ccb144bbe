"""Caller protocol ``/operate/``: operators' queries and commands.

``POST /operate/ask`` runs a typed statement (:mod:`mothworks.statements`).
``GET /operate/catalogue`` returns the catalogue in force and its revision;
``PUT`` replaces it if ``revision`` is still in force. ``GET
/operate/show/<collection>`` returns the collection's rows as a JSON array.
"""

import collections.abc

import attrs
import orjson
import result

from mothworks import (
    answers,
    audit,
    calls,
    catalogue,
    catalogue_checks,
    configuration,
    documents,
    kernel,
    operator_commands,
    operator_keys,
    operator_moves,
    outcomes,
    plugins,
    queries,
    settings,
    statements,
    suspects,
)

SHOW_PREFIX = "/operate/show/"


@attrs.frozen
class Change:
    """The body of a PUT that replaces the catalogue.

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
        self.commands = node_kernel.get(operator_commands.Commands)
        self.moves = node_kernel.get(operator_moves.OperatorMoves)
        self.queries = node_kernel.get(queries.Queries)
        self.suspects = node_kernel.get(suspects.Suspects)
        self.audit = node_kernel.get(audit.Audit)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Authenticate the operator and serve one call.

        :param call: the call.
        """
        operator = operator_keys.find(self.operators, call.bearer_hash() or "")
        if operator is None:
            refusal = outcomes.invalid(
                "a valid operator key is required", "invalid_api_key", 401
            )
            return calls.refuse(refusal)
        match (call.method, call.path):
            case ("POST", "/operate/ask"):
                return self._ask(call, operator)
            case ("GET", "/operate/catalogue"):
                return self._catalogue()
            case ("PUT", "/operate/catalogue"):
                return self._replace(call, operator)
            case ("GET", path) if path.startswith(SHOW_PREFIX):
                return self._show(path.removeprefix(SHOW_PREFIX))
            case (_, path):
                return calls.refuse(
                    outcomes.invalid(f"no resource at {path}", "not_found", 404)
                )

    def _ask(self, call: calls.Call, operator: settings.Operator) -> calls.Reply:
        match call.body().and_then(_parse).and_then(_statement):
            case result.Ok(statement):
                pass
            case result.Err(refusal):
                return calls.refuse(refusal)
        match statement:
            case statements.Show() | statements.WhyModel() | statements.WhyRequest():
                return _query_reply(self.queries.answer(statement))
            case _ if operator.role is not settings.Role.OPERATOR:
                return _forbidden()
            case statements.Move():
                return self._move(statement, operator)
            case statements.Lift():
                return self._lift(statement, operator)
            case _:
                outcome = self.commands.run(statement, operator.name)
                return _change_reply(outcome, _in_force_body)

    def _move(
        self, statement: statements.Move, operator: settings.Operator
    ) -> calls.Reply:
        match self.moves.request_move(statement, operator.name):
            case result.Ok(vm):
                note = (
                    f"accepted by the planner {vm}; {statement.source} unloads "
                    f"{statement.model!r} once {statement.target} has loaded it"
                )
                answer = answers.Answer(self.configuration.revision, (), (note,))
                return calls.json_reply(answer.plain())
            case result.Err(refusal):
                return calls.refuse(refusal)

    def _lift(
        self, statement: statements.Lift, operator: settings.Operator
    ) -> calls.Reply:
        if not self.suspects.lift(statement.suspect):
            message = f"no quarantined request has the hash {statement.suspect!r:.80}"
            return calls.refuse(outcomes.invalid(message, "not_found", 404))
        self.audit.record(
            audit.Kind.QUARANTINE,
            statement.suspect,
            "lift quarantine",
            statement.why,
            who=operator.name,
        )
        note = f"{statement.suspect} may run again on every VM"
        answer = answers.Answer(self.configuration.revision, (), (note,))
        return calls.json_reply(answer.plain())

    def _show(self, name: str) -> calls.Reply:
        if name not in list(statements.Collection):
            return calls.refuse(
                outcomes.invalid(
                    f"no collection is named {name!r:.80}", "not_found", 404
                )
            )
        statement = statements.Show(statements.Collection(name))
        match self.queries.answer(statement):
            case result.Ok(answer):
                return calls.json_reply(answer.tables[0].plain()["rows"])
            case result.Err(refusal):
                return calls.refuse(refusal)

    def _catalogue(self) -> calls.Reply:
        declared = documents.to_plain(self.configuration.index.catalogue)
        return calls.json_reply(
            {"revision": self.configuration.revision, "catalogue": declared}
        )

    def _replace(self, call: calls.Call, operator: settings.Operator) -> calls.Reply:
        if operator.role is not settings.Role.OPERATOR:
            return _forbidden()
        match call.body().and_then(_parse).and_then(_change):
            case result.Ok(change):
                replaced = self.commands.replace(
                    change.catalogue, change.revision, operator.name, change.why
                )
                return _change_reply(replaced, lambda revision: {"revision": revision})
            case result.Err(refusal):
                return calls.refuse(refusal)


def _query_reply(outcome: answers.Outcome) -> calls.Reply:
    match outcome:
        case result.Ok(answer):
            return calls.json_reply(answer.plain())
        case result.Err(refusal):
            return calls.refuse(refusal)


def _in_force_body(revision: int) -> dict:
    note = f"revision {revision} is in force"
    return answers.Answer(revision, (), (note,)).plain()


def _change_reply(
    outcome: operator_commands.Outcome,
    make_body: collections.abc.Callable[[int], dict],
) -> calls.Reply:
    match outcome:
        case result.Ok(revision):
            return calls.json_reply(make_body(revision))
        case result.Err(operator_commands.Rejected(refusal, difference)):
            body = orjson.loads(refusal.body())
            body["difference"] = [documents.to_plain(item) for item in difference]
            reply = calls.refuse(refusal)
            return attrs.evolve(reply, body=[orjson.dumps(body)])


def _forbidden() -> calls.Reply:
    return calls.refuse(
        outcomes.invalid("this requires the role operator", "forbidden", 403)
    )


def _parse(body: bytes) -> result.Result:
    try:
        return result.Ok(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        message = f"the body is not valid JSON: {error}"
        return result.Err(outcomes.invalid(message, "invalid_json"))


def _statement(value) -> result.Result[statements.Statement, outcomes.Refusal]:
    return statements.read(value).map_err(
        lambda error: outcomes.invalid(str(error), "invalid_statement", 422)
    )


def _change(value) -> result.Result[Change, outcomes.Refusal]:
    checked = documents.structure(value, Change, "change").and_then(
        lambda change: (
            catalogue_checks.check(change.catalogue, "catalogue")
            .and_then(
                lambda consistent: catalogue_checks.check_capacity(
                    consistent, "catalogue"
                )
            )
            .map(lambda _: change)
        )
    )
    return checked.map_err(
        lambda error: outcomes.invalid(str(error), "invalid_catalogue", 422)
    )
