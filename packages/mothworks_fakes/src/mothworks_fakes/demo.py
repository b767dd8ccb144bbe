"""The demo: two deployments on this machine, with real answers through nodes.

``make demo`` runs it. For a Siamcrest-like and a Bandeja-like deployment it
starts the stand-ins and three nodes, applies the catalogue from
``examples/``, streams chat answers through different nodes, calls a service,
shows what operators see, and ends everything.
"""

import os
import pathlib
import subprocess
import sys
import tempfile

import attrs
import defopt
import gevent
import gevent.subprocess
import geventhttpclient
import orjson

from mothworks import builtin, catalogue, catalogue_checks  # noqa: F401
from mothworks_fakes import processes, testbed

EXAMPLES = pathlib.Path("examples")
#: Times that a chat is sent while its adapter is loaded.
MOST_SENDS = 20
#: Lines shown of each table.
MOST_LINES = 12


@attrs.frozen
class Scene:
    """One deployment of the demo.

    :param catalogue_file: the catalogue, below ``examples/``.
    :param model: the model that is asked.
    :param chat_key: key of the caller who asks.
    :param service_path: path of a service call.
    :param service_key: key of the caller who calls it.
    """

    catalogue_file: str
    model: str
    chat_key: str
    service_path: str
    service_key: str


SCENES = (
    Scene(
        "siamcrest.json",
        "status-7b",
        "treasury-key",
        "/services/settlement/status?trade=1701",
        "treasury-key",
    ),
    Scene(
        "bandeja.json",
        "menu-8b/hotel-007",
        "guests-key",
        "/services/orders/confirm",
        "guests-key",
    ),
)

#: What operators ask in the demo.
STATEMENTS = ("show peers", "show endpoints", "show models", "show moves", "show audit")


def run(*, folder: pathlib.Path = EXAMPLES, only: str = "") -> None:
    """Run the demo.

    :param folder: where the catalogues are.
    :param only: run only the scene with this catalogue file.
    """
    for scene in SCENES:
        if only not in ("", scene.catalogue_file):
            continue
        with tempfile.TemporaryDirectory() as logs:
            bed = testbed.Testbed(pathlib.Path(logs))
            try:
                _play(scene, bed, folder / scene.catalogue_file)
            finally:
                bed.stop()
    _say("done")


def _play(scene: Scene, bed: testbed.Testbed, path: pathlib.Path) -> None:
    _say(f"{path}: stand-ins and three nodes")
    text = path.read_text(encoding="utf-8")
    declared = catalogue_checks.parse_and_check(text, str(path)).unwrap()
    started = attrs.evolve(
        declared, endpoints=tuple(bed.add(item) for item in declared.endpoints)
    )
    for place, centre in enumerate(declared.data_centres[:3]):
        node = bed.add_node(f"vm-{place + 1}", centre.name, centre.region)
        print(f"{node.settings.name} in {centre.name}: {node.url}")
    bed.apply(started)
    names = [item.name for item in declared.endpoints]
    processes.wait_until(lambda: bed.all_open(names))
    processes.wait_until(lambda: bed.all_resident(started), timeout_s=120.0)
    _say("every declared model is resident")
    for node in bed.node_by_name.values():
        _chat(node, scene)
    _call_service(next(iter(bed.node_by_name.values())), scene)
    for statement in STATEMENTS:
        _ask(next(iter(bed.node_by_name.values())), statement)
    _say("graceful shutdown")
    for node in bed.node_by_name.values():
        print(f"{node.settings.name} ended with code {node.stop()}")


def _chat(node: processes.NodeProcess, scene: Scene) -> None:
    """Stream one answer; an adapter that must be loaded first is asked again."""
    print(f"\n{scene.model} through {node.settings.name}: ", end="", flush=True)
    messages = [{"role": "user", "content": f"Hello from {node.settings.name}"}]
    body = orjson.dumps(
        {"model": scene.model, "messages": messages, "max_tokens": 8, "stream": True}
    )
    http = geventhttpclient.HTTPClient.from_url(node.url, network_timeout=30.0)
    headers = {"Authorization": f"Bearer {scene.chat_key}"}
    for _ in range(MOST_SENDS):
        reply = http.post("/v1/chat/completions", body, headers)
        if reply.status_code == 200:
            return _print_stream(reply)
        print(f"[{reply.status_code}, again in {reply['retry-after']} s] ", end="")
        reply.read()
        gevent.sleep(float(reply["retry-after"]))
    raise RuntimeError(f"{scene.model} gave no answer")


def _print_stream(reply) -> None:
    while event := reply.readline(b"\n\n"):
        data = event.removeprefix(b"data: ").strip()
        if data == b"[DONE]":
            print(data.decode())
            return
        if data:
            delta = orjson.loads(data)["choices"][0]["delta"]
            print(delta["content"], end="", flush=True)
    raise RuntimeError("the stream ended without [DONE]")


def _call_service(node: processes.NodeProcess, scene: Scene) -> None:
    http = geventhttpclient.HTTPClient.from_url(node.url)
    headers = {
        "Authorization": f"Bearer {scene.service_key}",
        "Idempotency-Key": "demo-1",
    }
    reply = http.post(scene.service_path, b"from the demo", headers)
    print(f"\n{scene.service_path}: {reply.status_code} {reply.read().decode()}")


def _ask(node: processes.NodeProcess, statement: str) -> None:
    _say(f'mothctl ask "{statement}"')
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(sys.path),
        "MOTHWORKS_URL": node.url,
        "MOTHWORKS_KEY": testbed.OPERATOR_KEY,
    }
    command = [sys.executable, "-m", "mothctl", "ask", statement]
    done = gevent.subprocess.run(
        command, env=environment, stdout=subprocess.PIPE, check=True
    )
    lines = done.stdout.decode().splitlines()
    print("\n".join(line[:110] for line in lines[:MOST_LINES]))
    if len(lines) > MOST_LINES:
        print(f"... and {len(lines) - MOST_LINES} more lines")


def _say(text: str) -> None:
    print(f"\n== {text}", flush=True)


if __name__ == "__main__":
    defopt.run(run)
