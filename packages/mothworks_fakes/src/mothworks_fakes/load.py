"""Load generator: sends an open-loop schedule to nodes and records each answer.

``python -m mothworks_fakes.load --url URL --key KEY --model MODEL`` prints a
report of one class of requests; experiments use :class:`Load` directly.
"""

import hashlib
import pathlib
import random
import sys
import time

import attrs
import defopt
import gevent
import gevent.pool
import geventhttpclient
import geventhttpclient.response
import orjson

from mothworks_fakes import arrivals, history, report

#: Maximum time without received data, seconds.
READ_TIMEOUT_S = 120.0
#: Maximum number of connections to each node.
MAX_CONNECTIONS = 2000

_CONNECTION_ERRORS = (OSError, geventhttpclient.response.HTTPParseError)


class Load:
    """Sends requests and records the answers.

    :param urls: the nodes' base URLs; each request goes to a random one, as
        behind a load balancer.
    :param seed: seed of the schedule and of the choice of nodes.
    """

    def __init__(self, urls: list[str], seed: int = 0):
        self.seed = seed
        self.random = random.Random(f"{seed}/balancer")
        self.client_by_url = {url: _connect(url) for url in urls}
        self.records: list[history.Record] = []
        self.pool = gevent.pool.Pool()

    def run(self, traffics: tuple[arrivals.Traffic, ...], seconds: float) -> None:
        """Send a whole schedule and wait for every answer.

        :param traffics: the classes of requests.
        :param seconds: duration of the schedule, seconds.
        """
        start = time.monotonic()
        for arrival in arrivals.schedule(traffics, seconds, self.seed):
            gevent.sleep(max(0.0, start + arrival.due_s - time.monotonic()))
            self.pool.spawn(self.send, arrival, start)
        self.pool.join()

    def send(self, arrival: arrivals.Arrival, start: float) -> history.Record:
        """Send one request, once, and record its answer.

        Latencies are measured from the scheduled time of the request. Otherwise a
        load generator that falls behind would under-report them.

        :param arrival: the request.
        :param start: monotonic time of the run's start, seconds.
        """
        url = self.random.choice(list(self.client_by_url))
        body = request_body(arrival, self.seed)
        record = history.Record(
            number=arrival.number,
            traffic=arrival.traffic.name,
            url=url,
            digest=hashlib.sha256(body).hexdigest()[:12],
            due_s=arrival.due_s,
            wanted_tokens=arrival.traffic.tokens,
        )
        self.records.append(record)
        headers = {
            "Authorization": f"Bearer {arrival.traffic.key}",
            "Content-Type": "application/json",
        }
        try:
            reply = self.client_by_url[url].post("/v1/chat/completions", body, headers)
            record.status = reply.status_code
            record.ran = reply.get("mothworks-ran", "")
            self._receive(reply, record, start + arrival.due_s)
        except _CONNECTION_ERRORS as error:
            record.error = f"{type(error).__name__}: {error}"
        record.end_s = time.monotonic() - start
        return record

    def _receive(self, reply, record: history.Record, scheduled: float) -> None:
        if record.status != 200:
            record.error = bytes(reply.read()).decode("utf-8", "replace")
            return
        text = b""
        while True:
            event = reply.readline(b"\n\n")
            if not event:
                break
            now = time.monotonic()
            if record.first_token_s is None:
                record.first_token_s = now - scheduled
            record.last_token_s = now - scheduled
            text += event
        record.parse_stream(text)


def request_body(arrival: arrivals.Arrival, seed: int) -> bytes:
    """Return a request's body, which is unique in the run.

    :param arrival: the request.
    :param seed: the run's seed.
    """
    traffic = arrival.traffic
    prompt = f"{seed}/{arrival.number} ".ljust(traffic.prompt_bytes, "x")
    return orjson.dumps(
        {
            "model": traffic.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": traffic.tokens,
            "stream": True,
        }
    )


def run(
    *,
    url: list[str],
    key: str,
    model: str,
    rate: float = 10.0,
    seconds: float = 10.0,
    tokens: int = 16,
    burst: float = 1.0,
    seed: int = 0,
    records: pathlib.Path | None = None,
) -> None:
    """Send one class of requests and print the report.

    :param url: base URLs of nodes.
    :param key: the caller's key.
    :param model: the model or adapter.
    :param rate: mean number of requests per second.
    :param seconds: duration of the run, seconds.
    :param tokens: tokens that each request generates.
    :param burst: factor of the rate in the middle third of the run.
    :param seed: the same seed sends the same schedule.
    :param records: output file of the records, one JSON object per line.
    """
    middle = arrivals.Burst(seconds / 3, seconds / 3, burst)
    traffic = arrivals.Traffic("load", key, model, rate, tokens, bursts=(middle,))
    load = Load(url, seed)
    load.run((traffic,), seconds)
    print(report.table(report.summarise(load.records)))
    if records is not None:
        lines = [orjson.dumps(attrs.asdict(record)) for record in load.records]
        records.write_bytes(b"\n".join(lines) + b"\n")
    problems = history.check_answers(load.records)
    for problem in problems:
        print(problem, file=sys.stderr)
    sys.exit(1 if problems else 0)


def _connect(url: str) -> geventhttpclient.HTTPClient:
    return geventhttpclient.HTTPClient.from_url(
        url, concurrency=MAX_CONNECTIONS, network_timeout=READ_TIMEOUT_S
    )


if __name__ == "__main__":
    defopt.run(run)
