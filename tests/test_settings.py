"""Invalid settings files are rejected with file, field, found and allowed values."""

import pytest

from sesameford.errors import SettingsError
from sesameford.settings import parse_settings

GOOD = """
instance_id: e1
data_centre: a
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
"""


def test_valid_settings_are_accepted():
    settings = parse_settings(GOOD, "e1.yaml")
    assert settings.instance_id == "e1"
    assert settings.logging.format == "json"


@pytest.mark.parametrize(
    ("text", "path"),
    [
        (GOOD + "colour: red\n", "(top)"),
        (GOOD + "instance_id: e2\n", "(text)"),
        (GOOD.replace("127.0.0.1:1", "localhost:1"), "listen.callers"),
        (GOOD + "logging: {level: LOUD}\n", "logging.level"),
        (GOOD + "data_folder: &a [*a]\n", "(text)"),
        ("instance_id: [", "(text)"),
        ("3", "(top)"),
    ],
)
def test_an_error_names_the_invalid_field(text, path):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "e1.yaml")
    assert caught.value.source == "e1.yaml"
    assert caught.value.path == path
    assert caught.value.found
