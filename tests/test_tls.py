"""TLS of links and of the callers' port: peers without a valid identity are refused."""

import asyncio
import ssl
from pathlib import Path
from shutil import copy
from time import monotonic

import pytest
from aiohttp import ClientConnectorError, ClientError, ClientSession, web
from msgspec.structs import replace as replace_fields

from sesameford.codec import encode_envelope
from sesameford.errors import PeerError, SettingsError
from sesameford.guard_limits import GuardLimits
from sesameford.http_ports import listen
from sesameford.messages import Envelope, Heartbeat, Outgoing
from sesameford.peers import PeerLinks, seal, unseal
from sesameford.tables import InstanceState
from sesameford.tls import make_reloader, make_server_context, read_files
from tests.authority import Authority
from tests.test_instance import free_addresses, make_settings, running

HEARTBEAT = Heartbeat("a", InstanceState.READY, 1)


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def open_links(settings, identities, key=b"key"):
    """Return started links, and for each the list of senders it received from."""
    links, received = [], []
    for one, tls in zip(settings, identities, strict=True):
        senders: list[str] = []
        received.append(senders)
        files = read_files(tls, "test") if tls else None
        link = PeerLinks(
            one,
            1,
            key,
            lambda sender, *_, senders=senders: senders.append(sender),
            monotonic,
            files,
        )
        await link.start()
        links.append(link)
    return links, received


async def test_only_peers_of_the_same_authority_exchange_messages(tmp_path):
    """A process in the network listens and dials with another authority's identity.

    If accepted, it could grant itself capacity or send instances settings trees that
    were never accepted.
    """
    ours, theirs = Authority(tmp_path, "ours"), Authority(tmp_path, "theirs")
    settings = make_settings(tmp_path, 4, 0)
    identities = [
        ours.identity("e0"),
        ours.identity("e1"),
        theirs.identity("e2"),
        None,
    ]
    links, received = await open_links(settings, identities)
    try:
        for _ in range(100):
            for link in links:
                link.send(Outgoing(None, HEARTBEAT))
                link.flush()
            await asyncio.sleep(0.02)
            if "e1" in received[0] and "e0" in received[1]:
                break
        assert set(received[0]) == {"e1"}
        assert set(received[1]) == {"e0"}
        assert received[2] == received[3] == []
    finally:
        for link in links:
            await link.stop()


async def test_an_instance_sends_nothing_to_an_impersonator(tmp_path):
    """An instance's key is stolen and used to listen at another instance's address.

    The certificate is of the right authority, but has the wrong name.
    """
    ours = Authority(tmp_path, "ours")
    settings = make_settings(tmp_path, 2, 0)
    stolen = ours.identity("e7")
    links, received = await open_links(settings, [ours.identity("e0"), stolen])
    try:
        for _ in range(30):
            links[0].send(Outgoing("e1", HEARTBEAT))
            links[0].flush()
            await asyncio.sleep(0.02)
        assert received[1] == []
    finally:
        for link in links:
            await link.stop()


def test_a_seal_of_another_key_is_refused():
    envelope = Envelope("e1", 1, 1, (0, 0), (HEARTBEAT,))
    sealed = seal(b"one key", encode_envelope(envelope))
    assert unseal(b"one key", sealed) == encode_envelope(envelope)
    with pytest.raises(PeerError):
        unseal(b"another", sealed)
    with pytest.raises(PeerError):
        unseal(b"one key", sealed[:-1] + bytes([sealed[-1] ^ 1]))
    with pytest.raises(PeerError):
        unseal(b"one key", b"")


async def test_the_callers_port_accepts_only_tls(tmp_path):
    ours = Authority(tmp_path, "ours")
    (settings,) = make_settings(tmp_path, 1, 1)
    settings = replace_fields(settings, tls=ours.identity("e0"))
    async with running([settings]), ClientSession() as session:
        url = f"{settings.listen.callers}/healthz"
        trusting = ssl.create_default_context(cafile=str(ours.file))
        async with session.get(f"https://{url}", ssl=trusting) as answer:
            assert answer.status == 200
        with pytest.raises(ClientError):
            await session.get(f"http://{url}")
        untrusting = ssl.create_default_context()
        with pytest.raises(ClientConnectorError):
            await session.get(f"https://{url}", ssl=untrusting)


async def test_handshakes_that_are_not_begun_keep_nobody_out(tmp_path):
    """Guards against clients who connect, send nothing and hold all places."""

    async def answer(_):
        return web.Response()

    ours = Authority(tmp_path, "ours")
    app = web.Application()
    app.router.add_get("/healthz", answer)
    address = free_addresses(1)[0]
    limits = GuardLimits(40, 40)
    context = make_server_context(ours.identity("e0"))
    stop = await listen(app, address, context, limits)
    host, port = address.split(":")
    silent = [await asyncio.open_connection(host, int(port)) for _ in range(200)]
    trusting = ssl.create_default_context(cafile=str(ours.file))
    try:
        async with asyncio.timeout(20), ClientSession() as session:
            url = f"https://{address}/healthz"
            async with session.get(url, ssl=trusting) as answer:
                assert answer.status == 200
    finally:
        for _, writer in silent:
            writer.close()
        await stop()


def test_new_files_are_loaded_without_a_restart(tmp_path):
    """Certificates expire. If an instance had to restart to load new ones, each renewal
    would cut streams, and operators would postpone it until too late."""
    ours = Authority(tmp_path, "ours")
    tls = ours.identity("e0")
    changed = []
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    reload = make_reloader(tls, "test", (context,), changed.append)
    reload()
    assert changed == []
    newer = ours.identity("e9")
    copy(newer.certificate_file, tls.certificate_file)
    reload()
    assert changed == [], "one of two files is replaced: the old pair stays in force"
    copy(newer.key_file, tls.key_file)
    reload()
    assert [one.certificate for one in changed] == [
        Path(newer.certificate_file).read_text()
    ]


def test_files_that_do_not_match_are_refused(tmp_path):
    ours = Authority(tmp_path, "ours")
    one, other = ours.identity("e0"), ours.identity("e1")
    mixed = replace_fields(one, key_file=other.key_file)
    with pytest.raises(SettingsError, match="tls"):
        read_files(mixed, "test")
