"""Commands: statements that change the catalogue, by conditional updates.

Two operators never overwrite each other silently. A command is worked out
again on a newer revision only if that left its item as the operator could
have seen it; otherwise the later operator gets the difference, and nothing
is changed.
"""

import attrs
import result

from mothworks import (
    audit,
    catalogue,
    changes,
    configuration,
    kernel,
    objects,
    outcomes,
    statements,
)

#: How often a command is worked out again because others changed other items.
ATTEMPTS = 5
#: Hint to an operator while the object API does not answer, seconds.
RETRY_S = 5.0


@attrs.frozen
class Rejected:
    """A command that changed nothing.

    :param refusal: why.
    :param difference: in what the catalogue in force differs from the one
        that the command was based on, or would differ after it.
    """

    refusal: outcomes.Refusal
    difference: tuple[changes.Difference, ...] = ()


Outcome = result.Result[int, Rejected]


class Commands(kernel.Part):
    """Carries out commands.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.audit = node_kernel.get(audit.Audit)
        self.configuration = node_kernel.get(configuration.Configuration)

    def run(self, statement: statements.Change, who: str) -> Outcome:
        """Carry out a statement.

        :param statement: what to change.
        :param who: the operator.
        :returns: the new revision, or why nothing was changed.
        """
        seen = self._seen(statement.revision)
        for _ in range(ATTEMPTS):
            refreshed = self.configuration.refresh()
            if refreshed.is_err():
                return result.Err(_not_stored(refreshed.err()))
            revision = self.configuration.revision
            declared = self.configuration.index.catalogue
            overtaken = _overtaken(statement, seen, declared, revision)
            if overtaken is not None:
                return result.Err(overtaken)
            match changes.apply(declared, statement):
                case result.Ok(changed):
                    pass
                case result.Err(refusal):
                    return result.Err(Rejected(refusal))
            what, subject = _description(statement)
            applied = self._apply(changed, revision, who, subject, what, statement.why)
            match applied:
                case result.Err(configuration.Stale()):
                    continue
                case _:
                    return applied.map_err(_not_stored)
        message = "others change the catalogue all the time; nothing was changed"
        return result.Err(Rejected(outcomes.overloaded(message, 1.0, "contended")))

    def replace(
        self, declared: catalogue.Catalogue, expected: int, who: str, why: str
    ) -> Outcome:
        """Put a whole catalogue in force.

        :param declared: the checked catalogue.
        :param expected: the revision that it was compared with.
        :param who: the operator.
        :param why: the operator's reason.
        """
        what = "replace the catalogue"
        match self._apply(declared, expected, who, "catalogue", what, why):
            case result.Err(configuration.Stale(revision, base, in_force)):
                # Where this VM has forgotten the base, the difference is what
                # the operator's catalogue would undo.
                difference = changes.difference(base or declared, in_force)
                refusal = _stale(expected, revision)
                return result.Err(Rejected(refusal, difference))
            case applied:
                return applied.map_err(_not_stored)

    def _seen(self, revision: int | None) -> catalogue.Catalogue:
        in_force = self.configuration.index.catalogue
        return self.configuration.earlier_by_revision.get(revision, in_force)

    def _apply(
        self,
        changed: catalogue.Catalogue,
        expected: int,
        who: str,
        subject: str,
        what: str,
        why: str,
    ) -> result.Result[int, configuration.ApplyError]:
        """Store a catalogue and record the change."""
        applied = self.configuration.apply(changed, expected, who, why)
        match applied:
            case result.Ok(revision):
                pass
            case result.Err(configuration.Uncertain(revision)):
                what = f"{what} (not known whether accepted)"
            case _:
                return applied
        self.audit.record(
            audit.Kind.CONFIGURATION,
            subject,
            what,
            why,
            who=who,
            before=expected,
            after=revision,
        )
        return applied


def _overtaken(
    statement: statements.Change,
    seen: catalogue.Catalogue,
    declared: catalogue.Catalogue,
    revision: int,
) -> Rejected | None:
    """Return the rejection of a command that another operator's overtook.

    Without this check the later of two commands on one item would win, and
    the first operator's change would be gone without a word to either.
    """
    difference = changes.item_difference(
        seen, declared, *changes.changed_item(statement)
    )
    if statement.revision not in (None, revision):
        return Rejected(_stale(statement.revision, revision), difference)
    if difference:
        message = "another operator has just changed the same item"
        refusal = outcomes.invalid(
            f"{message} (revision {revision}); nothing was changed", "stale", 409
        )
        return Rejected(refusal, difference)
    return None


def _description(statement: statements.Change) -> tuple[str, str]:
    """Return what a statement does, and the name of its item."""
    section, name = changes.changed_item(statement)
    verb = type(statement).__name__.lower()
    return f"{verb} {section.removesuffix('s')} {name}", name


def _stale(expected: int, revision: int) -> outcomes.Refusal:
    message = (
        f"the change is based on revision {expected}, but revision {revision} "
        "is in force; nothing was changed"
    )
    return outcomes.invalid(message, "stale", 409)


def _not_stored(problem) -> Rejected:
    match problem:
        case objects.Unavailable(reason):
            message = f"the object API does not answer: {reason}"
            refusal = outcomes.overloaded(message, RETRY_S, "object_api")
        case objects.TooLarge(key, size):
            message = f"{key} would take {size} bytes, over the platform's bound"
            refusal = outcomes.invalid(message, "too_large", 413)
        case configuration.Uncertain(revision, reason):
            message = (
                f"whether revision {revision} was accepted is not known "
                f"({reason}); look before you repeat the change"
            )
            refusal = outcomes.unknown(message)
        case configuration.Unreadable(revision, problems):
            message = f"revision {revision} can't be read by this VM: {problems}"
            refusal = outcomes.invalid(message, "unreadable", 409)
    return Rejected(refusal)
