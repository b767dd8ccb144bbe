"""Commands: statements that change the catalogue, by conditional updates.

Two operators never overwrite each other silently. A command is recomputed on a
newer revision only if the command's item is still as the operator could have
seen it. Otherwise the later operator gets the difference, and nothing is
changed.
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

#: Attempts of a command while other operators change other items.
MAX_ATTEMPTS = 5
#: Time after which an operator should retry if the object API is unavailable,
#: seconds.
RETRY_AFTER_S = 5.0


@attrs.frozen
class Rejected:
    """A command that was refused, or whose outcome is unknown.

    :param refusal: the reason.
    :param difference: the fields in which the catalogue in force differs from
        the one that the command is based on, or from the operator's catalogue
        if this VM no longer retains that one.
    """

    refusal: outcomes.Refusal
    difference: tuple[changes.Difference, ...] = ()


Outcome = result.Result[int, Rejected]


class Commands(kernel.Part):
    """Executes commands.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.audit = node_kernel.get(audit.Audit)
        self.configuration = node_kernel.get(configuration.Configuration)

    def run(self, statement: statements.Change, who: str) -> Outcome:
        """Execute a statement that changes the catalogue.

        :param statement: the change.
        :param who: the operator.
        :returns: the new revision, or the rejection.
        """
        base_catalogue = self._base_catalogue(statement.revision)
        for _ in range(MAX_ATTEMPTS):
            refreshed = self.configuration.refresh()
            if refreshed.is_err():
                return result.Err(_store_error(refreshed.err()))
            revision = self.configuration.revision
            declared = self.configuration.index.catalogue
            conflict = _find_conflict(statement, base_catalogue, declared, revision)
            if conflict is not None:
                return result.Err(conflict)
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
                    return applied.map_err(_store_error)
        message = "other operators keep changing the catalogue; nothing was changed"
        return result.Err(Rejected(outcomes.overloaded(message, 1.0, "contended")))

    def replace(
        self, declared: catalogue.Catalogue, expected: int, who: str, why: str
    ) -> Outcome:
        """Put a whole catalogue in force.

        :param declared: the checked catalogue.
        :param expected: the revision that it is based on.
        :param who: the operator.
        :param why: the operator's reason.
        """
        what = "replace the catalogue"
        match self._apply(declared, expected, who, "catalogue", what, why):
            case result.Err(configuration.Stale(revision, base, in_force)):
                # If this VM no longer retains the base, the difference is what
                # the operator's catalogue would revert.
                difference = changes.difference(base or declared, in_force)
                refusal = _stale(expected, revision)
                return result.Err(Rejected(refusal, difference))
            case applied:
                return applied.map_err(_store_error)

    def _base_catalogue(self, revision: int | None) -> catalogue.Catalogue:
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
        """Store a catalogue and record the change in the audit trail."""
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


def _find_conflict(
    statement: statements.Change,
    base_catalogue: catalogue.Catalogue,
    declared: catalogue.Catalogue,
    revision: int,
) -> Rejected | None:
    """Return the rejection of a command whose item another operator changed.

    Without this check the later of two commands on one item would overwrite
    the first one, and neither operator would notice.
    """
    difference = changes.item_difference(
        base_catalogue, declared, *changes.changed_item(statement)
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
    """Return what a statement does, and the name of its item, for the audit trail."""
    section, name = changes.changed_item(statement)
    verb = type(statement).__name__.lower()
    return f"{verb} {section.removesuffix('s')} {name}", name


def _stale(expected: int, revision: int) -> outcomes.Refusal:
    message = (
        f"the change is based on revision {expected}, but revision {revision} "
        "is in force; nothing was changed"
    )
    return outcomes.invalid(message, "stale", 409)


def _store_error(problem) -> Rejected:
    match problem:
        case objects.Unavailable(reason):
            message = f"the object API does not answer: {reason}"
            refusal = outcomes.overloaded(message, RETRY_AFTER_S, "object_api")
        case objects.TooLarge(key, size):
            message = f"{key} would take {size} bytes, over the platform's limit"
            refusal = outcomes.invalid(message, "too_large", 413)
        case configuration.Uncertain(revision, reason):
            message = (
                f"whether revision {revision} was accepted is not known "
                f"({reason}); check the revision in force before repeating the change"
            )
            refusal = outcomes.unknown(message)
        case configuration.Unreadable(revision, problems):
            message = f"this VM can't read revision {revision}: {problems}"
            refusal = outcomes.invalid(message, "unreadable", 409)
    return Rejected(refusal)
