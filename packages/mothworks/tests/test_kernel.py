"""Shutdown of a node's parts, in order and after failures."""

import gevent
import pytest

import builders
from mothworks import kernel


class Recorder(kernel.Part):
    """Records its own shutdown."""

    def __init__(self, node_kernel):
        super().__init__(node_kernel)
        self.steps = []

    def drain(self, deadline):
        self.steps.append("drain")

    def stop(self):
        self.steps.append("stop")
        super().stop()


class Failing(kernel.Part):
    """Fails when it is drained and when it is stopped."""

    def drain(self, deadline):
        raise ValueError("drain")

    def stop(self):
        raise ValueError("stop")


def fail():
    raise ZeroDivisionError


@pytest.fixture
def node_kernel():
    return kernel.Kernel(builders.settings())


# Guards against a part whose drain fails and that leaves the others, and the calls that
# they serve, without one.
def test_a_part_that_fails_to_drain_does_not_end_the_shutdown(node_kernel):
    first = node_kernel.get(Recorder)
    node_kernel.get(Failing)
    node_kernel.on_draining.append(fail)
    node_kernel.shut_down()
    assert first.steps == ["drain", "stop"]
    assert node_kernel.stopped.is_set()
    assert isinstance(node_kernel.failure, ZeroDivisionError)


# Guards against a failed task that ends the process and all calls in progress at once.
def test_a_failed_task_shuts_down_gracefully(node_kernel):
    part = node_kernel.get(Recorder)
    part.tasks.spawn(fail)
    gevent.sleep(0.05)
    assert part.steps == ["drain", "stop"]
    assert node_kernel.stopped.is_set()
    assert isinstance(node_kernel.failure, ZeroDivisionError)
