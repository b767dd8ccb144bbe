"""Deployments and demand over time, generated from a seed."""

import collections.abc
import enum
import random

import attrs

from mothworks import catalogue

#: Accelerator memory of an engine with four accelerators, MB. One replica of
#: each model fills a half to three quarters of a deployment's memory.
ENGINE_MB = 256_000
ACCELERATORS = 4
#: Maximum batch size of an engine.
SLOTS = 16
#: Mean time that a request occupies a batch slot, seconds.
SERVICE_S = 2.0
#: Duration of a trace and of the warm-up before it, which is not measured, seconds.
LENGTH_S = 1800
WARM_UP_S = 400
#: Memory of models, MB, and the relative frequency of each size.
MODEL_SIZES_MB = (16_000, 28_000, 56_000, 110_000)
MODEL_SIZE_WEIGHTS = (4, 3, 3, 2)


class Shape(enum.StrEnum):
    """Shape of the demand over time."""

    STEADY = "steady"
    TENFOLD = "tenfold"
    DEADLINE = "deadline"
    HOT = "hot"
    LOST = "data centre lost"


@attrs.frozen
class Size:
    """Size of a deployment.

    :param name: its name.
    :param engines: number of engines.
    :param data_centres: number of data centres.
    :param models: number of models.
    :param adapters: number of adapters.
    :param weights: weights of the placement, such as attainment against moves.
    """

    name: str
    engines: int
    data_centres: int
    models: int
    adapters: int
    weights: catalogue.Weights


SIAMCREST = Size("siamcrest", 6, 4, 15, 80, catalogue.Weights(1.0, 0.5, 2.0, 8))
BANDEJA = Size("bandeja", 9, 3, 30, 100, catalogue.Weights(1.0, 0.1, 3.0, 10))
TENFOLD = Size("bandeja-x10", 90, 3, 300, 1000, catalogue.Weights(1.0, 0.1, 30.0, 100))


def deployment(size: Size, seed: int) -> catalogue.Catalogue:
    """Return the catalogue of a deployment.

    :param size: its size.
    :param seed: seed of the sizes of models and adapters, and of the base models.
    """
    rng = random.Random(seed)
    centres = [f"dc-{number}" for number in range(size.data_centres)]
    models = [
        catalogue.Model(
            f"model-{number}",
            rng.choices(MODEL_SIZES_MB, MODEL_SIZE_WEIGHTS)[0],
            working_mb=8_000,
        )
        for number in range(size.models)
    ]
    adapters = [
        catalogue.Adapter(
            f"adapter-{number}", rng.choice(models).name, rng.randint(50, 200)
        )
        for number in range(size.adapters)
    ]
    engines = [
        catalogue.Endpoint(
            f"engine-{number}",
            "vllm",
            "127.0.0.1",
            1,
            centres[number % len(centres)],
            memory_mb=ENGINE_MB,
            accelerators=ACCELERATORS,
            slots=SLOTS,
        )
        for number in range(size.engines)
    ]
    return catalogue.Catalogue(
        data_centres=tuple(catalogue.DataCentre(name, "region") for name in centres),
        models=tuple(models),
        adapters=tuple(adapters),
        endpoints=tuple(engines),
        weights=size.weights,
    )


@attrs.define
class Trace:
    """Arrival rate of each model over time.

    :param size: the deployment's size.
    :param shape: the shape of the demand.
    :param seed: seed of the base rates and of the choice of surging models.
    :param load: fraction of all batch slots that the base demand occupies.
    """

    size: Size
    shape: Shape
    seed: int
    load: float = 0.3
    base: list[float] = attrs.field(init=False)
    surging: list[int] = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Draw the models' base rates and the models whose demand surges."""
        rng = random.Random(self.seed + 1)
        ranks = list(range(self.size.models))
        rng.shuffle(ranks)
        weights = [1 / (rank + 1) for rank in ranks]
        capacity = self.size.engines * SLOTS / SERVICE_S
        total = self.load * capacity
        self.base = [total * weight / sum(weights) for weight in weights]
        middle = sorted(range(self.size.models), key=lambda n: ranks[n])
        third = self.size.models // 3
        count = max(2, self.size.models // 8)
        self.surging = rng.sample(middle[2 : 2 + 2 * third], count)

    def rates(self, second: float) -> collections.abc.Iterator[float]:
        """Yield each model's rate, requests per second.

        :param second: time since the trace began; negative in the warm-up.
        """
        capacity = self.size.engines * SLOTS / SERVICE_S
        hot = self.surging[0]
        for number, base in enumerate(self.base):
            surges = number in self.surging
            match self.shape:
                case Shape.TENFOLD if surges:
                    yield base * (1 + 9 * _plateau(second, 300, 180, 700))
                case Shape.DEADLINE:
                    peak_factor = 8 if surges else 2
                    yield base * (
                        1 + (peak_factor - 1) * _plateau(second, 200, 900, 400)
                    )
                case Shape.HOT if number == hot:
                    yield base + 0.4 * capacity * _plateau(second, 300, 120, 800)
                case _:
                    yield base

    def is_lost(self, data_centre: str, second: float) -> bool:
        """Return whether a data centre is down at a time.

        :param data_centre: its name.
        :param second: time since the trace began.
        """
        is_down = self.shape is Shape.LOST and 600 <= second < 1200
        return is_down and data_centre == "dc-0"


def _plateau(second: float, start: float, rise: float, hold: float) -> float:
    """Return the value, from 0 to 1, of a ramp up, a plateau and a ramp down."""
    if second < start:
        return 0.0
    if second < start + rise:
        return (second - start) / rise
    if second < start + rise + hold:
        return 1.0
    return max(0.0, 1.0 - (second - start - rise - hold) / rise)
