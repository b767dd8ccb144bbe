"""Turns: prompts reach an endpoint one after another, and nobody waits long."""

import time

import gevent
import pytest
import result

import fleet_builders
import gateway_builders
from mothworks import membership, messages, peers
from mothworks_gateway import asked, declared, owners, reading, turns

#: Tokens that an endpoint reads in 100 ms, as turns are planned.
TENTH_S = int(turns.READ_TOKENS_PER_S / 10)


class Membership:
    def __init__(self, *names):
        self.on_change = []
        self.names = names

    def near(self):
        return [
            type("Member", (), {"name": name, "leaving": False}) for name in self.names
        ]


class Peers:
    """Stands for peers of which each answers, or does not."""

    def __init__(self, answer=None, linked=True):
        self.answer = answer
        self.is_linked = linked
        self.opened = set()
        self.asked = []
        self.asks = []

    def handle(self, *_):
        pass

    def linked(self, _):
        return self.is_linked

    def open(self, vm):
        self.opened.add(vm)

    def call(self, vm, ask, timeout_s):
        self.asked.append(vm)
        self.asks.append(ask)
        if self.answer is None:
            gevent.sleep(timeout_s)
            return result.Err(peers.PeerFailure(vm, "no reply in time", True))
        return result.Ok(self.answer)


def make(links, *names):
    parts = {peers.Peers: links, membership.Membership: Membership(*names)}
    kernel = gateway_builders.Kernel(parts)
    parts[reading.Reading] = reading.Reading(kernel)
    parts[owners.Owners] = owners.Owners(kernel)
    return turns.Turns(kernel)


def request(tokens=TENTH_S, objective_s=1.0, urgency=0):
    route = declared.Route(
        "r",
        "h",
        "/",
        (declared.Share("s"),),
        objective_s=objective_s,
        urgency=urgency,
    )
    return gateway_builders.request(route=route, input_tokens=tokens)


def took(made, wanted, endpoint):
    began = time.monotonic()
    made.wait(wanted, endpoint)
    return time.monotonic() - began


def owned_by(vm, *others):
    """Return an endpoint that one VM owns among several."""
    for number in range(1000):
        found = gateway_builders.endpoint(f"i-{number}")
        weights = {
            name: owners.ownership.weight(found.id, name) for name in (vm, *others)
        }
        if max(weights, key=weights.get) == vm:
            return found
    raise AssertionError("no endpoint of that VM")


def test_prompts_are_read_one_after_another():
    plan = turns.Plan()
    starts = [plan.reserve(TENTH_S, 1, 5.0) for _ in range(4)]
    assert starts == pytest.approx([0.0, 0.1, 0.2, 0.3])
    assert plan.reserve(TENTH_S, 1, 5.45) == 0.0


def test_urgent_prompts_do_not_wait_for_others():
    # Drafts have filled the next 200 ms of an endpoint. An urgent extract goes
    # at once, and the drafts behind it wait for it, too.
    plan = turns.Plan()
    plan.reserve(TENTH_S, 1, 5.0)
    plan.reserve(TENTH_S, 1, 5.0)
    assert plan.reserve(TENTH_S, 0, 5.0) == 0.0
    assert plan.reserve(TENTH_S, 1, 5.0) == pytest.approx(0.3)


def test_a_plan_does_not_grow_in_an_overload():
    # An endpoint gets more than it can read for a minute. Its plan must not
    # make requests wait long after that is over.
    plan = turns.Plan()
    for _ in range(600):
        plan.reserve(TENTH_S, 1, 5.0)
    assert plan.reserve(TENTH_S, 1, 5.0) <= turns.MOST_AHEAD_S
    assert plan.reserve(TENTH_S, 1, 5.0 + turns.MOST_AHEAD_S) == 0.0


def test_a_request_waits_at_most_for_a_part_of_its_objective():
    made = make(Peers(turns.Turn(5.0)), "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    assert took(made, request(objective_s=0.2), endpoint) < 0.12


def test_lengths_that_callers_make_up_harm_nobody():
    # A caller says that its prompt has 10^40 tokens, which no message between VMs
    # can hold, and another that it has less than none, which would free the plan.
    links = Peers(turns.Turn(0.0))
    made = make(links, "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    for tokens in (10**40, -(10**40)):
        made.wait(request(tokens=tokens), endpoint)
    assert all(messages.pack(ask) for ask in links.asks)
    own = make(Peers())
    own.wait(request(), endpoint)
    before = own.plan_by_endpoint[endpoint.id].free_at_by_urgency[0]
    own.wait(request(tokens=-TENTH_S), endpoint)
    assert own.plan_by_endpoint[endpoint.id].free_at_by_urgency[0] >= before


def test_a_request_without_a_prompt_asks_nobody():
    links = Peers(turns.Turn(5.0))
    made = make(links, "vm-2")
    made.wait(request(tokens=0), owned_by("vm-2", "vm-1"))
    assert links.asked == []


def test_a_silent_owner_costs_one_short_wait():
    # The owner is frozen: its connection is open and nothing comes back. One
    # request pays for it, the next ones are sent without a turn.
    links = Peers()
    made = make(links, "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    assert took(made, request(), endpoint) < 5 * turns.REPLY_S
    for _ in range(5):
        made.wait(request(), endpoint)
    assert links.asked == ["vm-2"]


def test_nobody_waits_for_a_connection_to_an_owner():
    # The owner is cut off. Opening a connection to it would take half a second
    # for each request.
    links = Peers(turns.Turn(0.1), linked=False)
    made = make(links, "vm-2")
    made.wait(request(), owned_by("vm-2", "vm-1"))
    assert links.asked == []
    assert links.opened == {"vm-2"}


def test_among_many_vms_owners_are_few_and_connected_to_all():
    # With 195 VMs and 59 owners each VM met most owners once a day, without a
    # connection, so no prompt got a turn and streams paused.
    links = Peers(turns.Turn(0.0), linked=False)
    made = make(links, *fleet_builders.names_of(195))
    made._open_links()
    assert len(links.opened) <= 9
    chosen = {made.owners.ranked(f"i-{number}")[0] for number in range(59)}
    assert chosen - {made.name} <= links.opened


def test_an_owner_that_is_gone_is_followed_by_another_vm():
    links = Peers(turns.Turn(0.0))
    made = make(links, "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    made.wait(request(), endpoint)
    made.owners.ranking.membership.names = ()
    for notify in made.owners.ranking.membership.on_change:
        notify()
    made.wait(request(), endpoint)
    assert links.asked == ["vm-2"]
    assert endpoint.id in made.plan_by_endpoint


def test_prompts_are_spaced_by_the_speed_that_answers_have_shown():
    # Endpoints that read half as fast as usual got prompts at the usual pace.
    # Several stood there unread, were read in one go, and each stream that ran
    # there paused for half a second, longer than its callers accept.
    made = make(Peers())
    made.reading.speed_by_service["s"] = 10_000.0
    endpoint = gateway_builders.endpoint("i-1")
    made.wait(request(tokens=1_500), endpoint)
    assert took(made, request(tokens=1_500), endpoint) > 0.15


def test_only_what_a_prompt_does_not_share_counts():
    # Half of a prompt is the same for all callers, and kept by the endpoint.
    links = Peers(turns.Turn(0.0))
    made = make(links, "vm-2")
    prompt = (asked.PromptPart("shared", 900), asked.PromptPart("own", 1_000))
    asks = gateway_builders.request(prompt=prompt, input_tokens=1_900)
    made.wait(asks, owned_by("vm-2", "vm-1"))
    assert [ask.tokens for ask in links.asks] == [1_000]
