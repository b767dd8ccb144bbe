"""Demo: two deployments on this machine that serve requests through real nodes.

``make demo`` runs it. For a Siamcrest-like and a Bandeja-like deployment it
starts the fakes and three nodes, applies the catalogue from
``examples/``, streams chat completions through each node, calls a service,
runs operator statements, and shuts everything down.
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
#: Maximum number of attempts of a chat while its adapter is loaded.
MAX_ATTEMPTS = 20
#: Maximum number of lines printed of each table.
MAX_LINES = 12


@attrs.frozen
class Scene:
    """One deployment of the demo.

    :param catalogue_file: the catalogue, below ``examples/``.
    :param model: model of the chat requests.
    :param chat_key: API key of the chat requests.
    :param service_path: path of the service call.
    :param service_key: API key of the service call.
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

#: Operator statements that the demo runs.
STATEMENTS = ("show peers", "show endpoints", "show models", "show moves", "show audit")


def run(*, folder: pathlib.Path = EXAMPLES, only: str = "") -> None:
    """Run the demo.

    :param folder: folder of the catalogues.
    :param only: run only the scene with this catalogue file.
    """
    for scene in SCENES:
        if only not in ("", scene.catalogue_file):
            continue
        with tempfile.TemporaryDirectory() as logs:
            bed = testbed.Testbed(pathlib.Path(logs))
            try:
                _run_scene(scene, bed, folder / scene.catalogue_file)
            finally:
                bed.stop()
    _print_heading("done")


def _run_scene(scene: Scene, bed: testbed.Testbed, path: pathlib.Path) -> None:
    _print_heading(f"{path}: stand-ins and three nodes")
    text = path.read_text(encoding="utf-8")
    declared = catalogue_checks.parse_and_check(text, str(path)).unwrap()
    started = attrs.evolve(
        declared, endpoints=tuple(bed.add(item) for item in declared.endpoints)
    )
    for index, centre in enumerate(declared.data_centres[:3]):
        node = bed.add_node(f"vm-{index + 1}", centre.name, centre.region)
        print(f"{node.settings.name} in {centre.name}: {node.url}")
    bed.apply(started)
    names = [item.name for item in declared.endpoints]
    processes.wait_until(lambda: bed.all_open(names))
    processes.wait_until(lambda: bed.all_resident(started), timeout_s=120.0)
    _print_heading("every declared model is resident")
    for node in bed.node_by_name.values():
        _chat(node, scene)
    _call_service(next(iter(bed.node_by_name.values())), scene)
    for statement in STATEMENTS:
        _run_statement(next(iter(bed.node_by_name.values())), statement)
    _print_heading("graceful shutdown")
    for node in bed.node_by_name.values():
        print(f"{node.settings.name} ended with code {node.stop()}")


def _chat(node: processes.NodeProcess, scene: Scene) -> None:
    """Stream one answer; retry while the adapter is being loaded."""
    print(f"\n{scene.model} through {node.settings.name}: ", end="", flush=True)
    messages = [{"role": "user", "content": f"Hello from {node.settings.name}"}]
    body = orjson.dumps(
        {"model": scene.model, "messages": messages, "max_tokens": 8, "stream": True}
    )
    http = geventhttpclient.HTTPClient.from_url(node.url, network_timeout=30.0)
    headers = {"Authorization": f"Bearer {scene.chat_key}"}
    for _ in range(MAX_ATTEMPTS):
        reply = http.post("/v1/chat/completions", body, headers)
        if reply.status_code == 200:
            return _print_stream(reply)
        print(f"[{reply.status_code}, again in {reply['retry-after']} s] ", end="")
        reply.read()
        gevent.sleep(float(reply["retry-after"]))
    raise RuntimeError(f"{scene.model} did not answer")


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


def _run_statement(node: processes.NodeProcess, statement: str) -> None:
    _print_heading(f'mothctl ask "{statement}"')
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(sys.path),
        "MOTHWORKS_URL": node.url,
        "MOTHWORKS_KEY": testbed.OPERATOR_KEY,
    }
    command = [sys.executable, "-m", "mothctl", "ask", statement]
    completed = gevent.subprocess.run(
        command, env=environment, stdout=subprocess.PIPE, check=True
    )
    lines = completed.stdout.decode().splitlines()
    print("\n".join(line[:110] for line in lines[:MAX_LINES]))
    if len(lines) > MAX_LINES:
        print(f"... and {len(lines) - MAX_LINES} more lines")


def _print_heading(text: str) -> None:
    print(f"\n== {text}", flush=True)


if __name__ == "__main__":
    defopt.run(run)
