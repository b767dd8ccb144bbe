"""A minimal proxy in front of one engine, the baseline of measurements.

It does the minimum that a WSGI proxy needs: it forwards the body and streams
the response. Start it with ``python -m mothworks_fakes.pass_through PORT``.
"""

import collections.abc

import defopt
import gevent.pywsgi
import geventhttpclient
import orjson


def run(engine_port: int) -> None:
    """Run the proxy until it is killed.

    :param engine_port: the engine's port on this machine.
    """
    http = geventhttpclient.HTTPClient(
        "127.0.0.1", engine_port, concurrency=4096, network_timeout=60
    )

    def application(environ, start_response) -> collections.abc.Iterator[bytes]:
        body = environ["wsgi.input"].read()
        headers = {"Content-Type": "application/json"}
        response = http.post(environ["PATH_INFO"], body, headers)
        start_response("200 OK", [("Content-Type", response["content-type"])])
        while event := response.readline(b"\n\n"):
            yield event

    server = gevent.pywsgi.WSGIServer(("127.0.0.1", 0), application, log=None)
    server.init_socket()
    url = f"http://127.0.0.1:{server.socket.getsockname()[1]}"
    print(orjson.dumps({"url": url}).decode(), flush=True)
    server.serve_forever()


if __name__ == "__main__":
    defopt.run(run)
