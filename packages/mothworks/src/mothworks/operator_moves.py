"""Moves that operators request, forwarded to the region's planner."""

import time

import attrs
import result

from mothworks import (
    audit,
    kernel,
    messages,
    orders,
    outcomes,
    peers,
    planner,
    plugins,
    relocations,
    statements,
)

#: Timeout of the call to the planner, seconds.
PLANNER_TIMEOUT_S = 2.0
#: Time after which an operator should retry if the region has no planner,
#: seconds.
RETRY_AFTER_S = 5.0


@messages.message(82)
@attrs.frozen
class MoveRequest:
    """Requests that a region's planner relocate a model.

    :param model: the model.
    :param source: the endpoint that unloads it.
    :param target: the endpoint that loads it.
    :param who: the operator.
    :param why: the operator's reason.
    """

    model: str
    source: str
    target: str
    who: str
    why: str


@messages.message(83)
@attrs.frozen
class MoveReply:
    """The planner's reply to :class:`MoveRequest`.

    :param problem: why the move was rejected; empty if it was accepted.
    """

    problem: str


@plugins.register(plugins.PART, "operator_moves")
class OperatorMoves(kernel.Part):
    """Forwards operators' moves to the planner, or accepts them on its VM.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.audit = node_kernel.get(audit.Audit)
        self.orders = node_kernel.get(orders.Orders)
        self.peers = node_kernel.get(peers.Peers)
        self.planner = node_kernel.get(planner.Planner)
        self.peers.handle(MoveRequest, self._serve_request)

    def request_move(
        self, statement: statements.Move, who: str
    ) -> result.Result[str, outcomes.Refusal]:
        """Request a move from the planner of the target's region.

        :param statement: the operator's statement.
        :param who: the operator.
        :returns: the VM whose planner accepted it.
        """
        planner_vm = self.orders.planner(statement.target)
        if planner_vm is None:
            message = f"no planner is responsible for endpoint {statement.target!r:.80}"
            return result.Err(outcomes.invalid(message, "not_declared", 404))
        request = MoveRequest(
            statement.model, statement.source, statement.target, who, statement.why
        )
        if planner_vm.name == self.kernel.settings.name:
            answer = self._start_move(request)
        else:
            match self.peers.call(planner_vm.name, request, PLANNER_TIMEOUT_S):
                case result.Ok(MoveReply() as answer):
                    pass
                case _:
                    message = f"the planner {planner_vm.name} does not answer"
                    return result.Err(outcomes.unknown(message, "planner"))
        if answer.problem:
            message = f"{answer.problem}; nothing was changed"
            return result.Err(outcomes.invalid(message, "not_possible", 409))
        return result.Ok(planner_vm.name)

    def _serve_request(self, _: str, request: MoveRequest, answer: peers.Reply) -> None:
        answer(self._start_move(request))

    def _start_move(self, request: MoveRequest) -> MoveReply:
        if self.planner.region_plan is None:
            return MoveReply("the planner has just changed; try again")
        relocation = relocations.Relocation(
            request.model,
            request.source,
            request.target,
            request.why,
            time.monotonic() + relocations.RELOCATION_TIMEOUT_S,
        )
        match self.planner.region_plan.add_relocation(relocation):
            case result.Err(problem):
                return MoveReply(problem)
        what = f"move {request.model} from {request.source} to {request.target}"
        self.audit.record(
            audit.Kind.COMMAND, request.model, what, request.why, who=request.who
        )
        return MoveReply("")
