"""The strict reader agrees with the library's own wherever it takes a text."""

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.yaml_text import load_yaml

plain = st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(max_size=8)
values = st.recursive(
    plain | st.floats(allow_nan=False),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text("abc", min_size=1), inner, max_size=4)
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(values, st.sampled_from([None, True, False]))
def test_what_the_library_writes_is_read_the_same(value, flow):
    text = yaml.safe_dump(value, default_flow_style=flow, allow_unicode=True)
    assert load_yaml(text) == value
