"""A caller's request after parsing and validation."""

import attrs
import xxhash

from mothworks_gateway import client_accounts, declaration_types


@attrs.frozen
class PromptPart:
    """A part of a prompt, which other requests may share.

    :param id: identifier of the part's content.
    :param tokens: length of the part.
    """

    id: str
    tokens: int


@attrs.frozen(cache_hash=True)
class Target:
    """What an endpoint must hold to run a request.

    :param service: the service that runs it.
    :param model: the model; empty for a plain service.
    :param adapter: an adapter of the model; empty for the model itself.
    :param software_version: the only version of endpoints' software that may run it;
        None for any.
    """

    service: str
    model: str = ""
    adapter: str = ""
    software_version: str | None = None

    @property
    def base(self) -> "Target":
        """Return the target without its adapter."""
        return attrs.evolve(self, adapter="")

    def allows(self, software_version: str) -> bool:
        """Return whether endpoints of a software version may run it.

        :param software_version: the version.
        """
        return self.software_version in (None, software_version)


@attrs.frozen
class CallerRequest:
    """A caller's request.

    :param id: the id that the caller sent with it.
    :param route: the matching route.
    :param target: the service, model and adapter that it needs.
    :param method: the HTTP method.
    :param path: path and query, as received.
    :param host: the requested host, as received.
    :param headers: the headers to forward.
    :param body: the body, which is forwarded unchanged.
    :param received_at: monotonic time of arrival, seconds.
    :param deadline: monotonic time by which the caller needs a final answer.
    :param declaration_version: version of the declaration with the matching route.
    :param prompt: the parts of its prompt, in order.
    :param input_tokens: length of its prompt.
    :param output_tokens: upper bound of the tokens that it generates.
    :param account: the caller's account; None if callers need no keys.
    :param after_event: id of the last event that the caller has received, if it takes a
        stream up; empty for a new stream.
    :param resumes: id of the request that brought the first event of that stream; empty
        if the caller does not name it.
    :param trial_of: fingerprint of the blocked part that it tries; empty if it is no
        trial. See :mod:`part_trials`.
    """

    id: str
    route: declaration_types.Route
    target: Target
    method: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    deadline: float
    declaration_version: int
    prompt: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0
    account: client_accounts.ClientAccount | None = None
    after_event: str = ""
    resumes: str = ""
    trial_of: bytes = b""

    @property
    def urgency(self) -> int:
        """Return the request's rank: the account's if it has one, else the route's."""
        if self.account is None or self.account.urgency is None:
            return self.route.urgency
        return self.account.urgency

    @property
    def takes_up(self) -> bool:
        """Return whether the caller takes up a stream that began before."""
        return self.route.streaming and bool(self.after_event)

    @property
    def stream_id(self) -> str:
        """Return the id of the request that began the stream."""
        return self.resumes if self.takes_up else self.id

    def pinned(self, software_version: str, service: str) -> "CallerRequest":
        """Return the request for endpoints of one software version only.

        :param software_version: the version.
        :param service: their service.
        """
        target = attrs.evolve(
            self.target, service=service, software_version=software_version
        )
        return attrs.evolve(self, target=target)

    @property
    def unshared_tokens(self) -> int:
        """Return the prompt tokens that are probably in no endpoint's prefix cache.

        These are the last part's; see :attr:`shared_parts`.
        """
        tokens = self.prompt[-1].tokens if self.prompt else self.input_tokens
        return max(0, tokens)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts of its prompt that other requests may have, too."""
        return self.prompt[:-1]

    def fingerprint(self) -> bytes:
        """Return a hash that is equal for copies of the same caller's request."""
        account = "" if self.account is None else self.account.name
        digest = xxhash.xxh128(self.route.host.encode())
        prompt = (item.id for item in self.prompt)
        for part in (account, self.method, self.path, *prompt):
            digest.update(b"\0" + part.encode())
        digest.update(b"\0" + self.body)
        return digest.digest()
