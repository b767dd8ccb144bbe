"""Reports of load runs: attainment, latencies and plots."""

import collections
import collections.abc
import pathlib

import attrs
import hdrh.histogram
import tabulate

from mothworks_fakes import history

#: Service targets: time to first token and time between tokens, seconds.
FIRST_TOKEN_TARGET_S = 1.6
BETWEEN_TOKENS_TARGET_S = 0.035

#: Minimum and maximum of the histograms, microseconds, and their significant digits.
HISTOGRAM_PARAMETERS = (1, 3_600_000_000, 3)


@attrs.frozen
class Summary:
    """Summary of one class of requests in one run.

    :param traffic: name of the class.
    :param sent: number of requests sent.
    :param complete: number of requests with a complete answer.
    :param refused: number of requests refused with ``ran: no``.
    :param in_target: number of requests that met both targets.
    :param first_token_p50_s: median time to the first token, seconds.
    :param first_token_p99_s: 99th percentile of it, seconds.
    :param between_p95_s: 95th percentile of the time between tokens, seconds.
    """

    traffic: str
    sent: int
    complete: int
    refused: int
    in_target: int
    first_token_p50_s: float
    first_token_p99_s: float
    between_p95_s: float

    @property
    def attainment(self) -> float:
        """Return the fraction of requests that met both targets, from 0 to 1."""
        return self.in_target / self.sent if self.sent else 0.0


def summarise(
    records: collections.abc.Iterable[history.Record],
    first_token_s: float = FIRST_TOKEN_TARGET_S,
    between_tokens_s: float = BETWEEN_TOKENS_TARGET_S,
) -> list[Summary]:
    """Summarise a run by class of requests.

    :param records: the callers' observations.
    :param first_token_s: target of the time to first token, seconds.
    :param between_tokens_s: target of the mean time between tokens, seconds.
    """
    records_by_traffic = collections.defaultdict(list)
    for record in records:
        records_by_traffic[record.traffic].append(record)
    return [
        _summary(traffic, traffic_records, first_token_s, between_tokens_s)
        for traffic, traffic_records in sorted(records_by_traffic.items())
    ]


def table(summaries: list[Summary]) -> str:
    """Return summaries as a text table.

    :param summaries: the summaries, one per class of requests.
    """
    rows = [
        {
            "traffic": item.traffic,
            "sent": item.sent,
            "complete": item.complete,
            "refused": item.refused,
            "attainment": f"{item.attainment:.3f}",
            "first p50 ms": f"{item.first_token_p50_s * 1000:.1f}",
            "first p99 ms": f"{item.first_token_p99_s * 1000:.1f}",
            "between p95 ms": f"{item.between_p95_s * 1000:.1f}",
        }
        for item in summaries
    ]
    return tabulate.tabulate(rows, headers="keys")


def plot_first_tokens(
    records_by_label: dict[str, list[history.Record]], path: pathlib.Path
) -> None:
    """Plot the cumulative distribution of the time to first token.

    :param records_by_label: records of the runs to compare.
    :param path: output file, PNG or SVG by its extension.
    """
    import matplotlib.figure

    figure = matplotlib.figure.Figure(figsize=(7, 4))
    axes = figure.add_subplot()
    for label, records in records_by_label.items():
        times = sorted(record.first_token_s for record in records if record.complete)
        fractions = [(index + 1) / len(records) for index in range(len(times))]
        axes.step(times, fractions, where="post", label=label)
    axes.axvline(FIRST_TOKEN_TARGET_S, linestyle=":", color="grey")
    axes.set_xscale("log")
    axes.set_xlabel("time to first token, s")
    axes.set_ylabel("share of requests sent")
    axes.legend()
    figure.savefig(path, bbox_inches="tight")


def _summary(
    traffic: str,
    records: list[history.Record],
    first_token_s: float,
    between_tokens_s: float,
) -> Summary:
    complete = [record for record in records if record.complete]
    first_token = _histogram(record.first_token_s for record in complete)
    between_tokens = _histogram(record.between_tokens_s or 0.0 for record in complete)
    in_target = [
        record
        for record in complete
        if record.first_token_s <= first_token_s
        and (record.between_tokens_s or 0.0) <= between_tokens_s
    ]
    return Summary(
        traffic=traffic,
        sent=len(records),
        complete=len(complete),
        refused=sum(record.ran == "no" for record in records),
        in_target=len(in_target),
        first_token_p50_s=first_token.get_value_at_percentile(50) / 1e6,
        first_token_p99_s=first_token.get_value_at_percentile(99) / 1e6,
        between_p95_s=between_tokens.get_value_at_percentile(95) / 1e6,
    )


def _histogram(
    seconds: collections.abc.Iterable[float],
) -> hdrh.histogram.HdrHistogram:
    histogram = hdrh.histogram.HdrHistogram(*HISTOGRAM_PARAMETERS)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1e6)))
    return histogram
