"""The check of a deployment's allowance of retries, for fleets and soaks."""

import bisect


def worst_excess(requests_at, retries_at, bounds):
    """Return the most retries in a window beyond what the deployment allows.

    The requests are those in the same window, in the one before it or in the one half a
    window before it, whichever has most.

    :param requests_at: times of the requests for a service, sorted, seconds.
    :param retries_at: times of arrivals beyond the first of a request, sorted, seconds.
    :param bounds: the bounds of the deployment.
    """
    window_s = bounds.retry_window_s

    def excess(index, at):
        requests = max(
            bisect.bisect_right(requests_at, at + window_s - before_s)
            - bisect.bisect_left(requests_at, at - before_s)
            for before_s in (0.0, window_s / 2, window_s)
        )
        retries = bisect.bisect_right(retries_at, at + window_s) - index
        return retries - bounds.retry_share * requests - bounds.retry_slack

    return max(
        (excess(index, at) for index, at in enumerate(retries_at)),
        default=-bounds.retry_slack,
    )
