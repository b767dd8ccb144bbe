"""Moves that operators order, handed to the planner of the region."""

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

#: Longest wait for the planner's answer, seconds.
TIMEOUT_S = 2.0
#: Hint to an operator whose order has no planner now, seconds.
RETRY_S = 5.0


@messages.message(82)
@attrs.frozen
class OrderMove:
    """Asks a region's planner to relocate a model.

    :param model: the model.
    :param source: the endpoint that gives it up.
    :param target: the endpoint that gets it.
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
class MoveAnswer:
    """The planner's answer to :class:`OrderMove`.

    :param problem: why nothing was begun; empty where the move was accepted.
    """

    problem: str


@plugins.register(plugins.PART, "operator_moves")
class OperatorMoves(kernel.Part):
    """Passes an operator's moves to the planner, or takes them where it is one.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.audit = node_kernel.get(audit.Audit)
        self.orders = node_kernel.get(orders.Orders)
        self.peers = node_kernel.get(peers.Peers)
        self.planner = node_kernel.get(planner.Planner)
        self.peers.handle(OrderMove, self._serve)

    def order(
        self, statement: statements.Move, who: str
    ) -> result.Result[str, outcomes.Refusal]:
        """Order a move.

        :param statement: the operator's statement.
        :param who: the operator.
        :returns: the VM that accepted it.
        """
        chosen = self.orders.planner(statement.target)
        if chosen is None:
            message = f"no VM plans for an endpoint {statement.target!r:.80}"
            return result.Err(outcomes.invalid(message, "not_declared", 404))
        order = OrderMove(
            statement.model, statement.source, statement.target, who, statement.why
        )
        if chosen.name == self.kernel.settings.name:
            answer = self._take(order)
        else:
            match self.peers.call(chosen.name, order, TIMEOUT_S):
                case result.Ok(MoveAnswer() as answer):
                    pass
                case _:
                    message = f"the planner {chosen.name} does not answer"
                    return result.Err(outcomes.unknown(message, "planner"))
        if answer.problem:
            message = f"{answer.problem}; nothing was changed"
            return result.Err(outcomes.invalid(message, "not_possible", 409))
        return result.Ok(chosen.name)

    def _serve(self, _: str, order: OrderMove, answer: peers.Answer) -> None:
        answer(self._take(order))

    def _take(self, order: OrderMove) -> MoveAnswer:
        if self.planner.state is None:
            return MoveAnswer("the planner has just changed; ask again")
        wanted = relocations.Relocation(
            order.model,
            order.source,
            order.target,
            order.why,
            time.monotonic() + relocations.PATIENCE_S,
        )
        match self.planner.state.relocate(wanted):
            case result.Err(problem):
                return MoveAnswer(problem)
        what = f"move {order.model} from {order.source} to {order.target}"
        self.audit.record(
            audit.Kind.COMMAND, order.model, what, order.why, who=order.who
        )
        return MoveAnswer("")
