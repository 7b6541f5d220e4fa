"""Make the messages by which an entry asks an agent to run an attempt."""

from leadford.protocol import Submit


def make_submit(*, attempt=1, stage="generate", repeatable=True):
    """Return the request for one attempt at the last stage of a pipeline."""
    return Submit(
        request_id="r",
        stage=stage,
        attempt=attempt,
        pipeline="line",
        workspace="w",
        priority=4,
        remaining_ms=9e3,
        repeatable=repeatable,
        stream=False,
        credit=64,
        body=b"{}",
        final=True,
    )
