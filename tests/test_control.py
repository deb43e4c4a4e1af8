"""The command-line tool, run against an instance's operators' port."""

import json
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from ssl import Purpose, create_default_context

import pytest
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

from sesameford.control import main, make_parser, run_command
from sesameford.control_client import ControlError
from sesameford.control_memory import memory_file, read_memory
from tests.operators_fixture import KEY, FakeInstance

TREE = "customers: {children: {a: {share: 2}}}\n"
UNREACHABLE = "http://127.0.0.1:9"


@pytest.fixture(autouse=True)
def operators_key(monkeypatch):
    monkeypatch.setenv("SESAMEFORD_OPERATOR_KEY", KEY)


@pytest.fixture
def tree(tmp_path):
    file = tmp_path / "tree.yaml"
    file.write_text(TREE)
    return file


async def run(instance, *arguments, servers=None):
    """Return the exit code of a command."""
    line = list(arguments)
    for server in servers or [instance.url]:
        line += ["--server", server]
    line += ["--timeout-seconds", "1"]
    try:
        return await run_command(make_parser().parse_args(line))
    except ControlError as error:
        return error.exit_code


async def test_apply_get_diff_status_history(instance, tree, capsys):
    assert await run(instance, "diff", str(tree)) == 1
    assert await run(instance, "apply", str(tree)) == 0
    assert await run(instance, "diff", str(tree)) == 0
    assert await run(instance, "get") == 0
    assert await run(instance, "get", "customers/a") == 0
    assert await run(instance, "get", "--effective", "customers/a") == 0
    assert await run(instance, "get", "--effective", "customers/b") == 2
    assert await run(instance, "status") == 0
    capsys.readouterr()
    assert await run(instance, "history", "--output", "json") == 0
    assert [one["operator"] for one in json.loads(capsys.readouterr().out)] == ["meera"]


async def test_a_data_centre_is_evacuated_and_restored(instance, capsys):
    """Each order is in the history, and a repeated order changes nothing."""
    for command, changed in (
        ("evacuate", True),
        ("evacuate", False),
        ("restore", True),
    ):
        assert await run(instance, command, "b", "--output", "json") == 0
        assert json.loads(capsys.readouterr().out)["changed"] is changed
    assert await run(instance, "evacuate", "nowhere") == 2
    assert await run(instance, "history", "--output", "json") == 0
    entries = json.loads(capsys.readouterr().out)
    assert [one["paths"] for one in entries] == [["data_centres/b"]] * 2


async def test_applying_a_tree_that_is_in_force_already_succeeds(
    instance, tree, capsys
):
    await run(instance, "apply", str(tree))
    memory_file(tree).unlink()
    capsys.readouterr()
    assert await run(instance, "apply", str(tree), "--output", "json") == 0
    assert json.loads(capsys.readouterr().out)["changed"] is False


async def test_an_unreachable_instance_is_skipped(instance, tree):
    servers = [UNREACHABLE, instance.url]
    assert await run(instance, "apply", str(tree), servers=servers) == 0
    assert await run(instance, "apply", str(tree), servers=[UNREACHABLE]) == 4


async def test_a_change_is_sent_again_after_a_lost_answer(instance, tree):
    """The connection breaks after the change was accepted.

    The tool sends it again with the same id and prints the first result.
    """
    instance.lose_answers = 1
    assert await run(instance, "apply", str(tree)) == 0
    assert instance.machine.store.revision == 1
    assert instance.proposals == 2


async def test_a_later_run_sends_the_unanswered_change_id_again(instance, tree, capsys):
    """The tool times out without an answer, and the operator runs it again later.

    Meanwhile another change was accepted after it. A new change id would get a
    conflict with the operator's own change.
    """
    instance.lose_answers = 1_000
    assert await run(instance, "apply", str(tree)) == 4
    assert instance.machine.store.revision == 1
    assert read_memory(memory_file(tree)).pending is not None
    instance.lose_answers = 0
    other = tree.with_name("other.yaml")
    other.write_text("customers: {children: {b: {}}}")
    assert await run(instance, "apply", str(other)) == 0
    capsys.readouterr()
    assert await run(instance, "apply", str(tree), "--output", "json") == 0
    assert json.loads(capsys.readouterr().out)["revision"] == 1
    assert read_memory(memory_file(tree)).pending is None


async def test_a_file_based_on_an_older_revision_is_a_conflict(instance, tree):
    """Another operator applies a change between two changes of one file.

    Without the file's base revision the second would revert the other operator's.
    """
    await run(instance, "apply", str(tree))
    other = tree.with_name("other.yaml")
    other.write_text("customers: {children: {b: {}}}")
    await run(instance, "apply", str(other))
    tree.write_text(TREE.replace("2", "3"))
    assert await run(instance, "apply", str(tree)) == 3
    assert await run(instance, "apply", str(tree), "--base-revision", "2") == 0


async def test_without_a_quorum_the_exit_code_is_4(instance, tree):
    """Too few replicas are up; the same change can be sent again later."""
    instance.quorum = False
    assert await run(instance, "apply", str(tree)) == 4
    instance.quorum = True
    assert await run(instance, "apply", str(tree)) == 0


async def test_wait_prints_the_instances_that_are_behind(instance, tree, capsys):
    assert await run(instance, "apply", str(tree), "--wait") == 0
    assert "unknown: e2" in capsys.readouterr().out
    instance.lagging = True
    tree.write_text("{}")
    wait = ("apply", str(tree), "--wait", "--wait-seconds", "0.2")
    assert await run(instance, *wait) == 6
    assert "e1" in capsys.readouterr().err


async def test_a_wrong_key_exits_with_5(instance, tree, monkeypatch):
    monkeypatch.setenv("SESAMEFORD_OPERATOR_KEY", "wrong")
    assert await run(instance, "status") == 5
    assert await run(instance, "apply", str(tree)) == 5


def test_validate_needs_no_instance(tree, capsys):
    assert main(["validate", str(tree)]) == 0
    tree.write_text("customers: {children: {a: {share: -1}}}")
    assert main(["validate", str(tree)]) == 2
    assert "customers/a.share: found -1" in capsys.readouterr().err
    assert main(["validate", str(tree.with_name("none.yaml"))]) == 2


def test_help_lists_the_exit_codes(capsys):
    with pytest.raises(SystemExit):
        main(["--help"])
    assert "exit codes" in capsys.readouterr().out


def write_identity(folder):
    """Write a self-signed identity of 127.0.0.1 and return its two files."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "instance")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, SHA256())
    )
    files = folder / "instance.pem", folder / "instance.key"
    files[0].write_bytes(certificate.public_bytes(Encoding.PEM))
    files[1].write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    return files


async def test_the_key_is_not_sent_to_an_instance_of_another_authority(tmp_path):
    """Another server answers at the address of an instance.

    Without a check of its certificate the tool would send it the operator's key.
    """
    certificate_file, key_file = write_identity(tmp_path)
    context = create_default_context(Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate_file, key_file)
    instance = await FakeInstance().start(ssl=context)
    trust = ("--authority-file", str(certificate_file))
    assert instance.url.startswith("https://")
    assert await run(instance, "status", *trust) == 0
    assert await run(instance, "status") == 4
    assert await run(instance, "status", "--authority-file", str(key_file)) == 2
    assert await run(instance, "status", "--authority-file", "/nowhere") == 2
    await instance.server.close()
