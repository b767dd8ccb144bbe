"""Health: failing endpoints are ejected, but never most of a service."""

import pytest

import gateway_builders
from mothworks_gateway import health, registry


@pytest.fixture
def endpoint_health():
    return health.Health(gateway_builders.kernel_with_registry(registry.Registry()))


def endpoints(count):
    return [gateway_builders.endpoint(f"i-{number}") for number in range(count)]


def test_consecutive_failures_eject_an_endpoint(endpoint_health):
    failing, *healthy = endpoints(3)
    for _ in range(health.MAX_CONSECUTIVE_FAILURES):
        endpoint_health.record_failure(failing, "reset")
    assert endpoint_health.healthy([failing, *healthy]) == healthy


def test_most_of_a_service_is_never_ejected(endpoint_health):
    # If all endpoints fail, the cause is elsewhere, and ejecting all of them would
    # refuse every request.
    items = endpoints(4)
    for item in items:
        for _ in range(5):
            endpoint_health.record_failure(item, "reset")
    assert endpoint_health.healthy(items) == items


def test_an_endpoint_that_fails_a_part_of_its_requests_is_ejected(endpoint_health):
    # Its health check would succeed. Half of its answers are errors, and the successes
    # in between reset the count of consecutive failures.
    failing, *healthy = endpoints(4)
    for number in range(60):
        for item in healthy:
            endpoint_health.record_success(item, 0.01)
        if number % 2:
            endpoint_health.record_success(failing, 0.01)
        else:
            endpoint_health.record_failure(failing, "status 500")
    assert failing not in endpoint_health.healthy([failing, *healthy])


def test_errors_that_all_endpoints_return_eject_none(endpoint_health):
    items = endpoints(4)
    for number in range(60):
        for item in items:
            if number % 4:
                endpoint_health.record_success(item, 0.01)
            else:
                endpoint_health.record_failure(item, "status 500", 0.5)
    assert endpoint_health.healthy(items) == items


def test_an_ejection_ends(endpoint_health, monkeypatch):
    failing, *healthy = endpoints(3)
    for _ in range(health.MAX_CONSECUTIVE_FAILURES):
        endpoint_health.record_failure(failing, "reset")
    ejected_until = endpoint_health.record(failing).ejected_until
    monkeypatch.setattr(health.time, "monotonic", lambda: ejected_until + 0.1)
    assert failing in endpoint_health.healthy([failing, *healthy])


def test_endpoints_that_are_gone_do_not_affect_the_median(endpoint_health):
    # Endpoints fail until they terminate, and restart under new ids. With the old ones
    # included, failing half of all requests was the usual failure rate.
    gone, staying = endpoints(8)[:5], endpoints(8)[5:]
    for _ in range(60):
        for item in gone:
            endpoint_health.record_failure(item, "status 500")
    endpoint_health.registry.by_id = {item.id: item for item in staying}
    endpoint_health.registry.notify_changed()
    failing, *healthy = staying
    for number in range(60):
        for item in healthy:
            endpoint_health.record_success(item, 0.01)
        if number % 2:
            endpoint_health.record_success(failing, 0.01)
        else:
            endpoint_health.record_failure(failing, "status 500")
    assert failing not in endpoint_health.healthy(staying)
    assert endpoint_health.record_by_id.keys() == endpoint_health.registry.by_id.keys()
