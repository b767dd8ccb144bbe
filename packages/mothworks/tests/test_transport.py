"""Connections to endpoints."""

import gevent

from mothworks import transport
from mothworks_fakes import application


def test_work_that_may_run_once_does_not_use_up_the_pool():
    # Orders stopped being answered after as many as the pool holds: each was
    # sent on a connection of its own, which was then kept in the pool, where
    # no order looks for one. The next to be given back waited for ever, with
    # its slot, until no slot was left.
    fake = application.Application().start()
    sender = transport.Transport(size=2)
    address = ("127.0.0.1", fake.port)
    with gevent.Timeout(20):
        for _ in range(5):
            answer = sender.exchange(
                address, "POST", "/", (), b"", transport.Sending(fresh=True)
            )
            assert b"".join(answer.unwrap().chunks())
            answer.unwrap().close()
    fake.stop()
