"""The operators' language: every statement, and the positions of syntax errors."""

import pytest

from mothctl import language
from mothworks import catalogue, statements

EQUAL = statements.Comparison.EQUAL

PARSED_BY_TEXT = {
    "show models": statements.Show(statements.Collection.MODELS),
    "show endpoints where state = down and memory_mb >= 80000": statements.Show(
        statements.Collection.ENDPOINTS,
        (
            statements.Condition("state", EQUAL, "down"),
            statements.Condition(
                "memory_mb", statements.Comparison.GREATER_OR_EQUAL, "80000"
            ),
        ),
    ),
    "watch waiting where urgency=bulk": language.Watch(
        statements.Show(
            statements.Collection.WAITING,
            (statements.Condition("urgency", EQUAL, "bulk"),),
        )
    ),
    "why model qwen2.5-7b": statements.WhyModel("qwen2.5-7b"),
    "why request 0af3": statements.WhyRequest("0af3"),
    'add model menu with memory_mb = 16000 and version = "2" at revision 7': (
        statements.Add(
            statements.Section.MODEL,
            {"name": "menu", "memory_mb": 16000, "version": "2"},
            revision=7,
        )
    ),
    'add caller kitchen with share = 0.5 and models = [menu, "term sheet"]': (
        statements.Add(
            statements.Section.CALLER,
            {"name": "kitchen", "share": 0.5, "models": ["menu", "term sheet"]},
        )
    ),
    "add service orders with repeatable = false": statements.Add(
        statements.Section.SERVICE, {"name": "orders", "repeatable": False}
    ),
    "retire adapter 7b": statements.Retire(statements.Section.ADAPTER, "7b"),
    'drain endpoint engine-1 because "new driver" at revision 3': statements.Drain(
        "engine-1", "new driver", 3
    ),
    "resume endpoint engine-1": statements.Resume("engine-1"),
    "reprioritise caller batch to urgent": statements.Reprioritise(
        "batch", catalogue.Urgency.URGENT
    ),
    "move model menu from engine-1 to engine-2": statements.Move(
        "menu", "engine-1", "engine-2"
    ),
    "lift quarantine 0af3 because fixed": statements.Lift("0af3", "fixed"),
    "diff ./catalogue.json": language.Diff("./catalogue.json"),
    "apply catalogue.json because growth at revision 2": language.Apply(
        "catalogue.json", "growth", 2
    ),
}

#: Invalid text; column of the problem; part of what is expected there.
SYNTAX_ERRORS = (
    ("", 0, "show"),
    ("show", 4, "models"),
    ("show modles", 5, "one of models"),
    ("show models where", 17, "a name"),
    ("show models where size > 3", 18, "memory_mb"),
    ("show models extra", 12, "where"),
    ("why engine-1", 4, "model"),
    ("drain engine-1", 6, "endpoint"),
    ("reprioritise caller batch to fast", 29, "urgent"),
    ("move model menu to engine-2", 16, "from"),
    ("retire model menu at revision x", 30, "a number"),
    ('drain endpoint "engine', 15, "a name"),
)


@pytest.mark.parametrize("text", PARSED_BY_TEXT)
def test_a_statement_is_parsed(text):
    assert language.parse(text).unwrap() == PARSED_BY_TEXT[text]


@pytest.mark.parametrize(("text", "column", "expected"), SYNTAX_ERRORS)
def test_an_error_points_at_its_column(text, column, expected):
    problem = language.parse(text).unwrap_err()
    assert problem.column == column
    assert expected in " ".join(problem.expected)
    assert str(problem).splitlines()[1] == " " * column + "^"


@pytest.mark.parametrize(
    "statement",
    [
        item
        for item in PARSED_BY_TEXT.values()
        if isinstance(item, statements.Statement)
    ],
)
def test_a_statement_survives_serialisation(statement):
    assert statements.read(statements.plain(statement)).unwrap() == statement
