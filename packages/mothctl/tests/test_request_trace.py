"""Request traces: a request's lines and what explains them, from all VMs' logs."""

import io

import orjson
import pytest

from mothctl import cli, request_trace

MINUTE = "2026-01-18T07:26"


def line(second, message, vm="vm-1", **fields):
    """Return a line of a VM's log as JSON."""
    log_fields = {
        "time": f"{MINUTE}:{second:09.6f}",
        "message": message,
        "vm": vm,
        **fields,
    }
    return orjson.dumps(log_fields).decode()


def messages(*texts, request="q-1"):
    traced = request_trace.trace(request_trace.read(texts), request).unwrap()
    return [item.message for item in traced.own], [
        item.message for item in traced.around
    ]


def test_lines_of_all_vms_are_ordered_by_time():
    own, _ = messages(
        line(3, "refused", "vm-2", request="q-1"),
        line(1, "sent", "vm-1", request="q-1"),
        line(2, "sent", "vm-1", request="q-2"),
    )
    assert own == ["sent", "refused"]


def test_orders_of_its_model_explain_a_refusal():
    _, around = messages(
        line(1, "load decided", "vm-2", model="m-a"),
        line(2, "order", "vm-2", model="m-b"),
        line(9, "refused", request="q-0", model="m-a"),
        line(5, "refused", request="q-1", model="m-a"),
    )
    assert around == ["load decided"]


def test_lines_of_its_endpoint_explain_a_send_also_shortly_after():
    _, around = messages(
        line(1, "endpoint limit", "vm-3", endpoint="i-1", request=""),
        line(2, "sent", request="q-1", endpoint="i-1"),
        line(3, "endpoint", "vm-3", endpoint="i-1", outcome="removed"),
        line(9, "endpoint", "vm-3", endpoint="i-1", outcome="appeared"),
        line(3, "endpoint", "vm-3", endpoint="i-2", outcome="removed"),
    )
    assert around == ["endpoint limit", "endpoint"]


def test_dependencies_of_other_vms_explain_nothing_but_the_lease_does():
    _, around = messages(
        line(1, "dependency lost", "vm-1"),
        line(1, "dependency lost", "vm-2"),
        line(2, "lease", "vm-2", outcome="lost"),
        line(3, "refused", "vm-1", request="q-1"),
    )
    assert around == ["dependency lost", "lease"]


@pytest.mark.parametrize("text", ["", "started", "{not json}", "[]", '{"time": 5}'])
def test_lines_of_other_programs_are_skipped(text):
    assert request_trace.read([text]) == []


def test_the_prefix_of_a_log_collector_is_ignored():
    text = f"edge-1 | {line(1, 'sent', request='q-1')}"
    assert messages(text) == (["sent"], [])


# Guards against a trace that looks complete although a VM left out lines.
def test_lines_that_a_vm_left_out_are_reported():
    lines = request_trace.read([line(1, "sent", request="q-1", left_out=7)])
    traced = request_trace.trace(lines, "q-1").unwrap()
    assert "INCOMPLETE: vm-1 left out 7 lines" in request_trace.render(traced)


def test_the_command_marks_the_lines_of_the_request(tmp_path, capsys):
    log = tmp_path / "vm-1.log"
    log.write_text(
        f"{line(1, 'lease', outcome='held')}\n{line(2, 'sent', request='q')}"
    )
    assert cli.trace("q", log) == cli.EXIT_DONE
    printed = capsys.readouterr().out.splitlines()
    assert printed == [
        "  07:26:01.000000 vm-1 lease: outcome=held",
        "* 07:26:02.000000 vm-1 sent: request=q",
    ]


def test_the_command_reads_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO(line(1, "sent", request="q-1")))
    assert cli.trace("q-1") == cli.EXIT_DONE


def test_an_unknown_request_and_a_missing_file_are_errors(tmp_path, capsys):
    log = tmp_path / "vm-1.log"
    assert cli.trace("q", log) == cli.EXIT_USAGE
    log.write_text("")
    assert cli.trace("q", log) == cli.EXIT_FAILED
    assert "no line names the request q" in capsys.readouterr().err
