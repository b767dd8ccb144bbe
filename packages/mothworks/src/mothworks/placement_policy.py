"""Interface of placement policies, and the moves of one planning pass."""

from mothworks import catalogue, endpoints, fleet, move_messages


class Policy:
    """Interface of the plug-ins of kind :data:`plugins.PLACEMENT`.

    :param weights: weights of latency target attainment and of moves.
    """

    def __init__(self, weights: catalogue.Weights):
        self.weights = weights

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Return the moves to start now, the most urgent first.

        :param planned: the fleet; the moves are applied to it.
        :param loads: maximum loads, limited by the weight store.
        """
        raise NotImplementedError


class PassMoves:
    """The moves of one planning pass.

    :param planned: the fleet; the moves are applied to it.
    :param loads: maximum loads.
    """

    def __init__(self, planned: fleet.Fleet, loads: int):
        self.fleet = planned
        self.loads = loads
        self.moves: list[move_messages.Move] = []

    @property
    def is_full(self) -> bool:
        """Return whether the weight store's limit permits no further load."""
        return self.loads <= 0

    def load(self, view: fleet.EndpointView, spec: fleet.ModelSpec, why: str) -> None:
        """Add a load.

        :param view: the endpoint.
        :param spec: the model or adapter.
        :param why: the reason, for the audit trail.
        """
        self.loads -= 1
        self.fleet.load(view, spec)
        move = move_messages.Move(
            view.name, endpoints.OrderKind.LOAD, spec.name, spec.version, why
        )
        self.moves.append(move)

    def unload(self, view: fleet.EndpointView, key: tuple[str, str], why: str) -> None:
        """Add an unload.

        :param view: the endpoint.
        :param key: name and version.
        :param why: the reason, for the audit trail.
        """
        self.fleet.unload(view, key)
        self.moves.append(
            move_messages.Move(view.name, endpoints.OrderKind.UNLOAD, *key, why)
        )
