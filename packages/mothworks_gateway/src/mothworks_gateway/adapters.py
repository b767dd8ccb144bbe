"""Interfaces that a platform adapter implements.

An adapter only translates: between the platform's documents and the types of
:mod:`declaration_types` and :mod:`registry`, and between requests and the endpoints'
protocol. It registers its classes under the plug-in kinds below. The setting
``adapter`` names both the module to import and the key to register under.
"""

import collections.abc
import enum

import attrs
import result

from mothworks import calls, endpoints, transport
from mothworks_gateway import (
    caller_request,
    client_accounts,
    declaration_types,
    registry,
)

#: Kinds of plug-ins, in addition to those of :mod:`mothworks.plugins`.
FEEDS = "feeds"
CALLERS = "callers"
ENDPOINTS = "endpoint protocol"


@attrs.frozen
class FeedUnavailable:
    """The platform did not respond.

    :param reason: what failed.
    """

    reason: str


@attrs.frozen
class CursorExpired:
    """The platform no longer has the changes since a cursor, or was restored."""


@attrs.frozen
class Snapshot:
    """All objects of one kind at one cursor.

    :param cursor: the platform's cursor; see :mod:`cursors`.
    :param document_by_name: each object in the platform's format; empty if its content
        can't be read.
    """

    cursor: int
    document_by_name: dict[str, bytes]


@attrs.frozen
class Change:
    """An object that was written or removed.

    :param name: its name.
    :param document: the object in the platform's format; None if removed, empty if its
        content can't be read.
    """

    name: str
    document: bytes | None


@attrs.frozen
class Changes:
    """The changes since a cursor.

    :param cursor: the platform's cursor after the changes.
    :param changes: in the order in which they happened.
    """

    cursor: int
    changes: tuple[Change, ...]


class Feed:
    """Objects of one kind, to be listed or followed."""

    def read(self) -> result.Result[Snapshot, FeedUnavailable]:
        """List all objects; never answered from a stale copy."""
        raise NotImplementedError

    def poll(
        self, cursor: int, wait_s: float
    ) -> result.Result[Changes, FeedUnavailable | CursorExpired]:
        """Wait for changes with one long poll.

        :param cursor: the cursor of the last response.
        :param wait_s: maximum wait, seconds.
        """
        raise NotImplementedError


class Feeds:
    """The platform's feeds, and how their documents are decoded."""

    declarations: Feed
    endpoints: Feed
    #: Name of the operator's document in the feed of declarations.
    declaration_name: str

    def declaration(
        self, document: bytes
    ) -> result.Result[declaration_types.Declaration, str]:
        """Decode the operator's document.

        :param document: the document.
        :returns: the declaration, or why it is unreadable.
        """
        raise NotImplementedError

    def endpoint(
        self, name: str, document: bytes
    ) -> result.Result[registry.Entry, str]:
        """Decode the object that an endpoint registers.

        :param name: the object's name.
        :param document: the object.
        :returns: the entry, or why it is unreadable.
        """
        raise NotImplementedError


class CallerProtocol:
    """The callers' protocol: decodes the requests of callers."""

    def decode_request(
        self,
        call: calls.Call,
        route: declaration_types.Route,
        service: str,
        body: bytes,
        version: int,
        account: client_accounts.ClientAccount | None = None,
    ) -> result.Result[caller_request.CallerRequest, str]:
        """Decode a request.

        :param call: the call.
        :param route: the route that it matched.
        :param service: the service chosen for it.
        :param body: its whole body.
        :param version: version of the declaration that has the route.
        :param account: the client account of its key; None if callers need no keys.
        :returns: the request, or what is wrong with it.
        """
        raise NotImplementedError

    def request_id(self, call: calls.Call) -> str:
        """Return the caller's id of a request, or an empty string.

        :param call: the call.
        """
        raise NotImplementedError

    def key(self, call: calls.Call) -> str:
        """Return the key that a request carries, or an empty string.

        :param call: the call.
        """
        raise NotImplementedError


class ResponseKind(enum.Enum):
    """Classification of an endpoint's answer by its head."""

    #: The request is running or has run, and this is its answer.
    ANSWER = "answer"
    #: The endpoint tried to run the request and reports a failure.
    FAILED = "failed"
    #: The endpoint did not run the request: it is full or leaving.
    BUSY = "busy"
    #: The endpoint did not run the request: it does not hold the model or adapter.
    NOT_HELD = "absent"
    #: The endpoint did not run the request: it is not the intended endpoint.
    MISDIRECTED = "misdirected"
    #: Not an answer to this request; whether the request ran is unknown.
    UNRECOGNIZED = "foreign"


def discard(answer: transport.HttpAnswer, kind: ResponseKind) -> None:
    """Close an answer that is not delivered.

    :param answer: the answer, its body not read.
    :param kind: its classification. After an unrecognized answer, the request may still
        run on the connection, which is not used again then.
    """
    if kind is ResponseKind.UNRECOGNIZED:
        answer.close()
    else:
        answer.release()


@attrs.frozen
class Holding:
    """A model that an endpoint holds.

    :param model: its name.
    :param adapters: the adapters held with it.
    """

    model: str
    adapters: frozenset[str] = frozenset()


@attrs.frozen
class Inventory:
    """What an endpoint reports that it holds; some hundred milliseconds old.

    :param accepted_orders: number of orders that it has accepted since its start.
    :param executing_order: whether it is executing an order now.
    :param holdings: the models that it holds.
    :param loading_adapters: adapters that it is loading, as (model, adapter).
    :param running: number of running requests.
    :param queued: number of requests queued on it.
    :param started_ms: its start time; see :class:`registry.Entry`.
    :param leaving: whether it announces that it is shutting down.
    """

    accepted_orders: int
    executing_order: bool
    holdings: tuple[Holding, ...]
    loading_adapters: tuple[tuple[str, str], ...] = ()
    running: int = 0
    queued: int = 0
    started_ms: int = 0
    leaving: bool = False


class OrderOutcome(enum.Enum):
    """An endpoint's response to an order."""

    #: The endpoint is executing the order now.
    ACCEPTED = "accepted"
    #: The endpoint is already in the ordered state.
    DONE = "done"
    #: It is executing another order, or has accepted a different number of orders.
    CONFLICT = "conflict"
    #: It has seen a newer fencing token.
    FENCED = "fenced"
    #: It refuses the order permanently.
    REFUSED = "refused"
    #: Another endpoint now has its address.
    MISDIRECTED = "misdirected"
    #: No connection to it was opened, or the lease ended before one was.
    UNSENT = "unsent"
    #: No response: it may execute the order now, later or never.
    UNKNOWN = "unknown"


@attrs.frozen
class Order:
    """An order to load or unload a model or an adapter.

    :param load: whether to load; otherwise unload.
    :param model: the model.
    :param adapter: an adapter of it; empty for the model itself.
    :param expected_orders: number of orders that the endpoint must have accepted so
        far.
    :param holder: the VM that sends the order.
    :param fence: the fencing token of its lease.
    """

    load: bool
    model: str
    adapter: str
    expected_orders: int
    holder: str
    fence: int


class EndpointProtocol:
    """The protocol of the endpoints.

    :param connections: the connections to endpoints.
    """

    def __init__(self, connections: transport.Transport):
        self.connections = connections

    def send(
        self,
        endpoint: registry.Endpoint,
        request: caller_request.CallerRequest,
        left_s: float,
        deadline: float,
        may_send: collections.abc.Callable[[], bool],
        after_event: str = "",
        on_head_late: collections.abc.Callable[[], float | None] | None = None,
    ) -> result.Result[transport.HttpAnswer, endpoints.SendFailure]:
        """Send a request once and wait for the head of the answer.

        :param endpoint: the endpoint to send it to.
        :param request: the request.
        :param left_s: time limit stated to the endpoint, seconds.
        :param deadline: monotonic time until which to wait for the head.
        :param may_send: called right before the first byte is sent; the request is sent
            only if it returns true.
        :param after_event: id of the last event that the caller has received, to resume
            after.
        :param on_head_late: called at that time if there is no head; returns the next
            monotonic time at which to call it, or None to give the request up.
        """
        raise NotImplementedError

    def classify_response(
        self, request: caller_request.CallerRequest, answer: transport.HttpAnswer
    ) -> ResponseKind:
        """Classify an answer by its head.

        :param request: the request that was sent.
        :param answer: the answer, its body not read.
        """
        raise NotImplementedError

    def rate_limit(
        self, answer: transport.HttpAnswer
    ) -> result.Result[float | None, str]:
        """Return the rate limit that an answer reports, in requests per second.

        The limit covers the requests of all VMs together, for as long as the endpoint
        reports it.

        :param answer: any answer of the endpoint, its body not read.
        :returns: the limit, None if there is none; or why it is unreadable.
        """
        raise NotImplementedError

    def is_leaving(self, answer: transport.HttpAnswer) -> bool:
        """Return whether an answer announces that the endpoint is shutting down.

        :param answer: any answer of the endpoint, its body not read.
        """
        raise NotImplementedError

    def backoff_s(
        self, answer: transport.HttpAnswer
    ) -> result.Result[float | None, str]:
        """Return how long an endpoint that refused a request wants no other, seconds.

        This applies to the requests of the VM that the endpoint answered.

        :param answer: any answer of the endpoint, its body not read.
        :returns: the time, None if it asks for none; or why it is unreadable.
        """
        raise NotImplementedError

    def max_refusals_per_s(
        self, answer: transport.HttpAnswer
    ) -> result.Result[float | None, str]:
        """Return how many refusals for lack of room an endpoint bears in a second.

        It fails if it has to refuse more, over all VMs, for as long as it says so.

        :param answer: any answer of the endpoint, its body not read.
        :returns: the number, None if it states none; or why it is unreadable.
        """
        raise NotImplementedError

    def inventory(self, endpoint: registry.Endpoint) -> result.Result[Inventory, str]:
        """Request what a model endpoint holds.

        :param endpoint: the endpoint.
        """
        raise NotImplementedError

    def order(
        self, endpoint: registry.Endpoint, order: Order, may_send
    ) -> OrderOutcome:
        """Send one copy of an order.

        :param endpoint: the endpoint to send it to.
        :param order: the order.
        :param may_send: called right before the first byte is sent; the order is sent
            only if it returns true.
        """
        raise NotImplementedError
