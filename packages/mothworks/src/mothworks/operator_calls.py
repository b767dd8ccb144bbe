"""Caller protocol ``/operate/``: operators query and command the system.

``POST /operate/ask`` takes a typed statement (:mod:`mothworks.statements`).
``GET /operate/catalogue`` returns the catalogue in force and its revision;
``PUT`` replaces it where ``revision`` is still in force. ``GET
/operate/show/<collection>`` lists rows as a plain array.
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
    questions,
    settings,
    statements,
    suspects,
)

SHOW_PREFIX = "/operate/show/"


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
        self.commands = node_kernel.get(operator_commands.Commands)
        self.moves = node_kernel.get(operator_moves.OperatorMoves)
        self.questions = node_kernel.get(questions.Questions)
        self.suspects = node_kernel.get(suspects.Suspects)
        self.audit = node_kernel.get(audit.Audit)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Answer one call.

        :param call: the call.
        """
        operator = operator_keys.find(self.operators, call.bearer_hash() or "")
        if operator is None:
            refusal = outcomes.invalid(
                "a valid operator's key is needed", "invalid_api_key", 401
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
                    outcomes.invalid(f"nothing is at {path}", "not_found", 404)
                )

    def _ask(self, call: calls.Call, operator: settings.Operator) -> calls.Reply:
        match call.body().and_then(_parse).and_then(_statement):
            case result.Ok(statement):
                pass
            case result.Err(refusal):
                return calls.refuse(refusal)
        match statement:
            case statements.Show() | statements.WhyModel() | statements.WhyRequest():
                return _reply(self.questions.answer(statement))
            case _ if operator.role is not settings.Role.OPERATOR:
                return _forbidden()
            case statements.Move():
                return self._move(statement, operator)
            case statements.Lift():
                return self._lift(statement, operator)
            case _:
                ran = self.commands.run(statement, operator.name)
                return _changed(ran, _done)

    def _move(
        self, statement: statements.Move, operator: settings.Operator
    ) -> calls.Reply:
        match self.moves.order(statement, operator.name):
            case result.Ok(vm):
                note = (
                    f"accepted by the planner {vm}; {statement.source} gives "
                    f"{statement.model!r} up once {statement.target} has it"
                )
                answer = answers.Answer(self.configuration.revision, (), (note,))
                return calls.json_reply(answer.plain())
            case result.Err(refusal):
                return calls.refuse(refusal)

    def _lift(
        self, statement: statements.Lift, operator: settings.Operator
    ) -> calls.Reply:
        if not self.suspects.lift(statement.suspect):
            message = f"nothing in quarantine has the hash {statement.suspect!r:.80}"
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
                outcomes.invalid(f"there is no {name!r:.80}", "not_found", 404)
            )
        shown = statements.Show(statements.Collection(name))
        match self.questions.answer(shown):
            case result.Ok(answer):
                return calls.json_reply(answer.tables[0].plain()["rows"])
            case result.Err(refusal):
                return calls.refuse(refusal)

    def _catalogue(self) -> calls.Reply:
        declared = documents.plain(self.configuration.index.catalogue)
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
                return _changed(replaced, lambda revision: {"revision": revision})
            case result.Err(refusal):
                return calls.refuse(refusal)


def _reply(outcome: answers.Outcome) -> calls.Reply:
    match outcome:
        case result.Ok(answer):
            return calls.json_reply(answer.plain())
        case result.Err(refusal):
            return calls.refuse(refusal)


def _done(revision: int) -> dict:
    note = f"revision {revision} is in force"
    return answers.Answer(revision, (), (note,)).plain()


def _changed(
    outcome: operator_commands.Outcome,
    body: collections.abc.Callable[[int], dict],
) -> calls.Reply:
    match outcome:
        case result.Ok(revision):
            return calls.json_reply(body(revision))
        case result.Err(operator_commands.Rejected(refusal, difference)):
            body = orjson.loads(refusal.body())
            body["difference"] = [documents.plain(item) for item in difference]
            refused = calls.refuse(refusal)
            return attrs.evolve(refused, body=[orjson.dumps(body)])


def _forbidden() -> calls.Reply:
    return calls.refuse(
        outcomes.invalid("this needs the role operator", "forbidden", 403)
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
            .and_then(lambda sound: catalogue_checks.fit(sound, "catalogue"))
            .map(lambda _: change)
        )
    )
    return checked.map_err(
        lambda error: outcomes.invalid(str(error), "invalid_catalogue", 422)
    )
