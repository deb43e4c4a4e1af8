"""The strict reader agrees with the library's reader on every text it accepts."""

import pytest
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
    # The library doesn't read back every text that it writes: it writes U+0085
    # unescaped and reads it as a line break. Its own reading is the expected one.
    assert load_yaml(text) == yaml.safe_load(text)


@pytest.mark.parametrize("text", ["a\x85b", "a\u2028b", "\x85", "a\nb", "a: b", "~"])
def test_unusual_texts_are_read_as_the_library_reads_them(text):
    written = yaml.safe_dump({"a": text}, allow_unicode=True)
    assert load_yaml(written) == yaml.safe_load(written)
