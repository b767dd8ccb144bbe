"""Starts one fake: ``python -m mothworks_fakes engine --memory-mb 1000``."""

import defopt
import gevent.event
import orjson

from mothworks_fakes import application, engine, object_api, platform, web


def run_engine(
    *,
    memory_mb: int = 80_000,
    fencing: bool = True,
    port: int = 0,
    step_ms: float = 10.0,
    batch: int = 16,
    model: list[str],
) -> None:
    """Run a model engine.

    :param memory_mb: accelerator memory, MB.
    :param fencing: reject orders with a stale fencing token.
    :param port: TCP port; 0 lets the kernel choose.
    :param step_ms: duration of a decoding step, milliseconds.
    :param batch: maximum batch size.
    :param model: models resident from the start, of 1000 MB each.
    """
    speed = engine.Speed(step_s=step_ms / 1000, step_s_per_request=0.0, batch=batch)
    fake = engine.Engine(memory_mb, fencing, speed, port)
    for name in model:
        fake.place(name, 1000)
    _serve(fake)


def run_application(*, port: int = 0) -> None:
    """Run an application service.

    :param port: TCP port; 0 lets the kernel choose.
    """
    _serve(application.Application(port))


def run_object_api(*, port: int = 0) -> None:
    """Run the object API.

    :param port: TCP port; 0 lets the kernel choose.
    """
    _serve(object_api.ObjectApi(port))


def run_vm_list(*, port: int = 0) -> None:
    """Run the platform's VM list.

    :param port: TCP port; 0 lets the kernel choose.
    """
    _serve(platform.VmList(port))


def run_weight_store(*, port: int = 0, parallel: int = 8) -> None:
    """Run the weight store.

    :param port: TCP port; 0 lets the kernel choose.
    :param parallel: maximum number of concurrent loads.
    """
    _serve(platform.WeightStore(port, parallel))


def _serve(fake: web.Fake) -> None:
    fake.start()
    print(orjson.dumps({"url": fake.url}).decode(), flush=True)
    gevent.event.Event().wait()


if __name__ == "__main__":
    defopt.run(
        {
            "engine": run_engine,
            "application": run_application,
            "object-api": run_object_api,
            "vm-list": run_vm_list,
            "weight-store": run_weight_store,
        }
    )
