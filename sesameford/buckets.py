"""Bucket bounds of all histograms of times, equal so that panels are comparable."""

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
