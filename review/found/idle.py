"""Ends all nodes by the first request after 17 minutes without one.

Too long for a case, which may run for two minutes. Run it with target/deps on Python's
path: ``python3 review/found/idle.py idle`` takes 18 minutes, and ``late``, which sends
requests all the time but has no late answer for 34 minutes, takes 35. It exits with 1
if a node ended by itself.
"""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import harness  # noqa: E402

import deployments  # noqa: E402
import fakes  # noqa: E402
import gevent  # noqa: E402

#: Time without a request, or without a late answer, seconds: a little more than 1,024
#: half-lives of the rates of the module `demand`.
WAIT_S = {"idle": 1045, "late": 2062}
MODELS = ("m-a", "m-b")


class Engine(fakes.Server):
    """An engine that may begin its answers late."""

    delay_s = 0.0

    def _stream(self, sock, request, headers, fault):
        gevent.sleep(self.delay_s)
        return super()._stream(sock, request, headers, fault)


def main(mode):
    route = deployments.route(
        "r-1", "/stream/", "streaming", "llm", timeoutMs=6000, goalMs=500,
        maxAttempts=1, gapAimMs=250,
    )
    document = deployments.config(
        1, [route], MODELS, slots=48, kvCapacity=150000, weightsMb=200.0
    )
    with harness.Deployment(document, nodes=3, plain=0, engines=()) as deployment:
        engines = [Engine(deployment.store, "llm", [name]) for name in MODELS]
        gevent.sleep(4)
        print("answers", [ask(node) for node in deployment.nodes])
        end = time.monotonic() + WAIT_S[mode]
        while time.monotonic() < end:
            gevent.sleep(50 if mode == "late" else 1)
            if mode == "late":
                [ask(node) for node in deployment.nodes]
        print("ended before:", [node.process.poll() for node in deployment.nodes])
        if mode == "late":
            for engine in engines:
                engine.delay_s = 0.8
        print("answer", ask(deployment.nodes[0]))
        gevent.sleep(12)
        ended = [node.process.poll() for node in deployment.nodes]
        print("exit statuses of the nodes, None if they run:", ended)
    return any(status is not None for status in ended)


def ask(node):
    try:
        caller = deployments.Caller(node.front)
        headers = {
            "Mothworks-Deadline-Ms": "5000",
            "Mothworks-Token-Count": "600,60",
            "Mothworks-Prompt-Prefix": f"aa01:200,{time.monotonic_ns():x}:400",
        }
        answer = caller.request("/stream/x", model="m-a", headers=headers)
        caller.close()
        return answer.status
    except (OSError, ValueError, IndexError) as error:
        return repr(error)


if __name__ == "__main__":
    broken = main(sys.argv[1] if len(sys.argv) > 1 else "idle")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
