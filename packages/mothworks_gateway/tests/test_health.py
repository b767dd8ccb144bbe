"""Health: endpoints that fail are passed over, but never most of a service."""

import pytest

import gateway_builders
from mothworks_gateway import health, registry


@pytest.fixture
def made():
    return health.Health(gateway_builders.kernel_with(registry.Registry()))


def endpoints(count):
    return [gateway_builders.endpoint(f"i-{number}") for number in range(count)]


def test_failures_in_a_row_pass_an_endpoint_over(made):
    bad, *good = endpoints(3)
    for _ in range(health.FAILURES_IN_A_ROW):
        made.failed(bad, "reset")
    assert made.usable([bad, *good]) == good


def test_most_of_a_service_is_never_passed_over(made):
    # All endpoints fail: something else is wrong, and passing all over would
    # refuse every request.
    items = endpoints(4)
    for item in items:
        for _ in range(5):
            made.failed(item, "reset")
    assert made.usable(items) == items


def test_an_endpoint_that_fails_part_of_its_requests_stands_out(made):
    # Its health check would be good. Half of its answers are errors, and the
    # good ones between them end every run of failures.
    bad, *good = endpoints(4)
    for number in range(60):
        for item in good:
            made.succeeded(item, 0.01)
        if number % 2:
            made.succeeded(bad, 0.01)
        else:
            made.failed(bad, "status 500")
    assert bad not in made.usable([bad, *good])


def test_errors_that_all_endpoints_have_pass_none_over(made):
    items = endpoints(4)
    for number in range(60):
        for item in items:
            if number % 4:
                made.succeeded(item, 0.01)
            else:
                made.failed(item, "status 500", 0.5)
    assert made.usable(items) == items


def test_one_that_is_good_again_comes_back(made, monkeypatch):
    bad, *good = endpoints(3)
    for _ in range(health.FAILURES_IN_A_ROW):
        made.failed(bad, "reset")
    until = made.record(bad).until
    monkeypatch.setattr(health.time, "monotonic", lambda: until + 0.1)
    assert bad in made.usable([bad, *good])


def test_endpoints_that_are_gone_count_no_longer(made):
    # Endpoints fail until they end, and start again under new ids. With the old
    # ones counted as neighbours, to fail half of all requests looked usual.
    gone, staying = endpoints(8)[:5], endpoints(8)[5:]
    for _ in range(60):
        for item in gone:
            made.failed(item, "status 500")
    made.registry.by_id = {item.id: item for item in staying}
    made.registry.changed()
    bad, *good = staying
    for number in range(60):
        for item in good:
            made.succeeded(item, 0.01)
        if number % 2:
            made.succeeded(bad, 0.01)
        else:
            made.failed(bad, "status 500")
    assert bad not in made.usable(staying)
    assert made.record_by_id.keys() == made.registry.by_id.keys()
