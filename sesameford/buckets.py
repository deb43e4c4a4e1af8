"""The bounds of every histogram of times, so that panels can be laid side by side."""

SECONDS_BUCKETS = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1.0,
    3.0,
    10.0,
    30.0,
    100.0,
    float("inf"),
)
