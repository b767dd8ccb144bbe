"""Configuration: revisions never decrease, accepted changes are never lost."""

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import pytest
import result

import builders
import memory_objects
from mothworks import (
    catalogue,
    configuration,
    configuration_following,
    configuration_garbage,
    configuration_head,
    configuration_parts,
    configuration_writing,
    objects,
    objects_http,
    settings,
)
from mothworks_fakes import processes


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(objects, "FIRST_BACKOFF_S", 0.0)
    monkeypatch.setattr(configuration_writing, "MAX_PAUSE_S", 0.0)


#: Time limit for a change to be in force on all VMs, seconds.
APPLY_LIMIT_S = 8.0


# A long poll that hangs past the end of an outage delays all changes until it
# times out.
def test_a_hanging_long_poll_times_out_before_a_change_must_be_in_force():
    poll_s = configuration_following.LONG_POLL_S + objects_http.WATCH_GRACE_S
    max_pause_s = 1.5 * configuration_following.RETRY_PAUSE_S
    assert poll_s + max_pause_s < APPLY_LIMIT_S


def make_vm(api, name="vm-1"):
    """Return the configuration of a new VM."""
    kernel = builders.kernel_with_objects(api, name)
    return kernel.get(configuration.Configuration)


def make_catalogue(marker):
    return builders.make_catalogue(
        services=(catalogue.Service("orders"), catalogue.Service(marker))
    )


def service_parts(body):
    """Return the names of the services' parts, which differ between changes."""
    return configuration_head.read(body).unwrap().parts_by_section["services"]


def test_a_change_stores_only_the_parts_that_differ():
    api = memory_objects.MemoryApi()
    vm = make_vm(api)
    models = tuple(builders.model(f"model-{number}") for number in range(1000))
    assert vm.apply(builders.make_catalogue(models=models), 0, "ana", "").unwrap() == 1
    initial_puts = api.write_count
    inserted = (*models[:500], builders.model("one-more"), *models[500:])
    assert (
        vm.apply(builders.make_catalogue(models=inserted), 1, "ana", "").unwrap() == 2
    )
    assert initial_puts > 8
    # The part around the new model, a second one if the model ends a part,
    # and the head.
    assert api.write_count - initial_puts <= 3
    restarted = make_vm(api)
    assert restarted.refresh().unwrap() == 2
    assert restarted.index.catalogue == builders.make_catalogue(models=inserted)


def test_the_later_of_two_operators_gets_the_difference():
    api = memory_objects.MemoryApi()
    first, second = make_vm(api, name="vm-1"), make_vm(api, name="vm-2")
    first.apply(make_catalogue("base"), 0, "ana", "")
    second.refresh()
    assert first.apply(make_catalogue("mine"), 1, "ana", "").unwrap() == 2
    stale = second.apply(make_catalogue("theirs"), 1, "eva", "").unwrap_err()
    expected = configuration.Stale(2, make_catalogue("base"), make_catalogue("mine"))
    assert stale == expected
    assert second.revision == 2


def test_an_unknown_outcome_is_not_reported_as_nothing_changed(monkeypatch):
    # The write of the head takes effect, but its reply and all later ones are
    # lost. Reported as "the object API does not answer", this made the operator
    # repeat the change, which then conflicted with the first attempt.
    monkeypatch.setattr(configuration_writing, "CONFIRM_TIMEOUT_S", 0.0)
    api = memory_objects.MemoryApi()
    vm = make_vm(api)
    vm.apply(make_catalogue("base"), 0, "ana", "")

    def go_down(key):
        api.down = key == configuration_head.KEY

    api.before_put = go_down
    # The first put stores the part, the second replaces the head.
    api.put_faults.extend([None, memory_objects.Fault.REPLY_LOST])
    outcome = vm.apply(make_catalogue("mine"), 1, "ana", "").unwrap_err()
    assert isinstance(outcome, configuration.Uncertain)
    api.down = False
    assert vm.refresh().unwrap() == 2


def test_a_writer_recognises_its_change_under_a_later_one(monkeypatch):
    # A write of the head takes effect and its reply is lost. Before the writer
    # reads the head back, another VM stores the next revision.
    api = memory_objects.MemoryApi()
    vm, other = make_vm(api, name="vm-1"), make_vm(api, name="vm-2")
    vm.apply(make_catalogue("base"), 0, "ana", "")
    heads = api.bodies_by_key[configuration_head.KEY]

    def follow_up(key):
        if key == configuration_head.KEY and len(heads) == 2:
            api.before_put = lambda key: None
            other.refresh()
            assert other.apply(make_catalogue("theirs"), 2, "eva", "").unwrap() == 3

    api.before_put = follow_up
    api.put_faults.extend([None, memory_objects.Fault.REPLY_LOST])
    assert vm.apply(make_catalogue("mine"), 1, "ana", "").unwrap() == 2
    assert vm.refresh().unwrap() == 3


def test_an_unreadable_revision_is_rejected_and_the_old_one_stays():
    # During an upgrade a newer VM stores fields unknown to an older one, or a
    # part is corrupt. Adopting only the readable parts would serve callers from
    # an incomplete catalogue.
    api = memory_objects.MemoryApi()
    vm = make_vm(api)
    vm.apply(make_catalogue("base"), 0, "ana", "")
    other = make_vm(api, name="vm-2")
    other.refresh()
    other.apply(make_catalogue("corrupt"), 1, "eva", "")
    (name,) = service_parts(api.bodies_by_key[configuration_head.KEY][-1])
    api.bodies_by_key[configuration_parts.KEY_PREFIX + name][-1] += b" "
    assert isinstance(vm.refresh().unwrap_err(), configuration.Unreadable)
    assert (vm.revision, vm.index.catalogue) == (1, make_catalogue("base"))
    newer = b'{"revision": 9, "colour": "blue"}'
    assert isinstance(vm.adopt(newer).unwrap_err(), configuration.Unreadable)
    # The next readable revision is adopted.
    assert other.apply(make_catalogue("good"), 2, "eva", "").unwrap() == 3
    assert vm.refresh().unwrap() == 3


def test_a_corrupt_part_from_a_peer_is_fetched_elsewhere():
    api = memory_objects.MemoryApi()
    make_vm(api).apply(make_catalogue("base"), 0, "ana", "")
    vm = make_vm(api, name="vm-2")
    body = api.bodies_by_key[configuration_head.KEY][-1]
    corrupt = configuration_parts.pack(b'{"section": "services", "items": []}')
    assert vm.adopt(body, (lambda name: corrupt,)).unwrap() == 1
    assert vm.index.catalogue == make_catalogue("base")


def test_unreferenced_parts_are_collected_and_parts_in_use_stay():
    # A change references a part of an earlier revision again. The collection,
    # which has recorded it as unreferenced, must not delete it under the new head.
    api = memory_objects.MemoryApi()
    vm = make_vm(api)
    garbage = vm.kernel.get(configuration_garbage.GarbageCollector)
    for revision, name in enumerate(("one", "two", "three")):
        vm.apply(make_catalogue(name), revision, "ana", "")
    first, second, third = (
        configuration_parts.KEY_PREFIX + service_parts(body)[0]
        for body in api.bodies_by_key[configuration_head.KEY]
    )
    garbage.collect(0.0)
    assert vm.apply(make_catalogue("one"), 3, "ana", "").is_ok()
    garbage.collect(configuration_garbage.RETENTION_S / 2)
    garbage.collect(configuration_garbage.RETENTION_S)
    remaining = set(api.list(configuration_parts.KEY_PREFIX).unwrap())
    assert first in remaining and third in remaining and second not in remaining
    assert make_vm(api, name="vm-2").refresh().unwrap() == 4


VMS = st.sampled_from(("vm-1", "vm-2", "vm-3"))
PUT_FAULTS = st.lists(
    st.sampled_from(
        (
            None,
            None,
            memory_objects.Fault.REPLY_LOST,
            memory_objects.Fault.REQUEST_LOST,
            memory_objects.Fault.UNAVAILABLE,
        )
    ),
    max_size=6,
)
GET_FAULTS = st.lists(
    st.sampled_from(
        (None, memory_objects.Fault.STALE, memory_objects.Fault.UNAVAILABLE)
    ),
    max_size=3,
)


class Revisions(hypothesis.stateful.RuleBasedStateMachine):
    """Concurrent writers, lost replies, stale reads, and heads in any order."""

    def __init__(self):
        super().__init__()
        self.api = memory_objects.MemoryApi()
        self.vm_by_name = {}
        for name in ("vm-1", "vm-2", "vm-3"):
            self.restart(name)
        self.changes = 0
        self.accepted_by_revision = {}
        self.failed_changes = []

    def restart(self, name):
        self.vm_by_name[name] = make_vm(self.api, name=name)
        self.vm_by_name[name].highest = 0

    @hypothesis.stateful.rule(name=VMS, puts=PUT_FAULTS, gets=GET_FAULTS)
    def change(self, name, puts, gets):
        self.api.put_faults.extend(puts)
        self.api.get_faults.extend(gets)
        self.changes += 1
        changed = make_catalogue(f"change-{self.changes}")
        vm = self.vm_by_name[name]
        match vm.apply(changed, vm.revision, name, ""):
            case result.Ok(revision):
                assert revision not in self.accepted_by_revision
                self.accepted_by_revision[revision] = changed
            case result.Err(configuration.Uncertain()):
                pass
            case result.Err(_):
                self.failed_changes.append(changed)
        self.api.put_faults.clear()
        self.api.get_faults.clear()

    @hypothesis.stateful.rule(name=VMS, faults=GET_FAULTS)
    def refresh(self, name, faults):
        self.api.get_faults.extend(faults)
        self.vm_by_name[name].refresh()
        self.api.get_faults.clear()

    @hypothesis.stateful.rule(name=VMS, number=st.integers(0, 100))
    def receive_any_head(self, name, number):
        heads = self.api.bodies_by_key[configuration_head.KEY]
        if heads:
            self.vm_by_name[name].adopt(heads[number % len(heads)])

    @hypothesis.stateful.rule(name=VMS)
    def restart_vm(self, name):
        self.restart(name)

    @hypothesis.stateful.invariant()
    def revisions_never_decrease(self):
        for vm in self.vm_by_name.values():
            assert vm.revision >= vm.highest
            vm.highest = vm.revision

    @hypothesis.stateful.invariant()
    def accepted_changes_are_in_the_history(self):
        heads = self.api.bodies_by_key[configuration_head.KEY]
        for expected, body in enumerate(heads, 1):
            assert configuration_head.read(body).unwrap().revision == expected
        for revision, changed in self.accepted_by_revision.items():
            assert service_parts(heads[revision - 1]) == service_part_names(changed)

    @hypothesis.stateful.invariant()
    def failed_changes_changed_nothing(self):
        written = {
            service_parts(body)
            for body in self.api.bodies_by_key[configuration_head.KEY]
        }
        assert not written & {
            service_part_names(changed) for changed in self.failed_changes
        }


def service_part_names(changed):
    parts = configuration_parts.split(changed)
    return configuration_parts.names_by_section(parts)["services"]


@pytest.mark.usefixtures("short_pauses")
def test_revisions_under_faults():
    hypothesis.stateful.run_state_machine_as_test(
        Revisions,
        settings=hypothesis.settings(
            max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
        ),
    )


def test_gossip_replicates_a_change_during_an_object_api_outage(bed):
    # The object API fails right after a change was accepted. Without gossip the
    # other VMs would serve the old catalogue until the outage ends, and a VM
    # that restarts meanwhile would have no catalogue.
    for number in range(1, 5):
        name = f"vm-{number}"
        url = f"{bed.object_api.url}/clients/{name}"
        bed.add_node(
            name, "dc-1", "region-1", object_api=settings.ObjectApi(url, timeout_s=0.5)
        )
    bed.object_api.cut_off = {"vm-2", "vm-3", "vm-4"}
    assert bed.apply(builders.make_catalogue()) == 1
    bed.object_api.faults.outage = True
    processes.wait_until(
        lambda: all(revision_of(bed, name) == 1 for name in bed.node_by_name)
    )
    bed.node_by_name["vm-3"].kill()
    bed.add_node("vm-3", "dc-1", "region-1")
    processes.wait_until(lambda: revision_of(bed, "vm-3") == 1)
    assert bed.node_by_name["vm-3"].is_ready()


def revision_of(bed, name):
    reply = bed.operator(bed.node_by_name[name]).get("catalogue")
    return reply.map(lambda value: value["revision"]).unwrap_or(0)
