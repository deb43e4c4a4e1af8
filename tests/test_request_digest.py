"""Digests that identify requests across their repeats."""

from sesameford.request_digest import (
    customer_part,
    digest_part,
    digest_request,
    is_part_digest,
    logged_digest,
)

REQUEST = ("club", "POST", "desk.example", "/safe/x?y", b"notes")


def test_each_part_of_a_request_changes_its_digest():
    others = [
        ("club", "PUT", "desk.example", "/safe/x?y", b"notes"),
        ("club", "POST", "other.example", "/safe/x?y", b"notes"),
        ("club", "POST", "desk.example", "/safe/x?z", b"notes"),
        ("club", "POST", "desk.example", "/safe/x?y", b""),
        ("club", "POST", "desk.example/safe", "/x?y", b"notes"),
    ]
    digests = {digest_request(*request) for request in [REQUEST, *others]}
    assert len(digests) == len(others) + 1
    assert len({logged_digest(digest) for digest in digests}) == len(digests)


def test_a_request_has_one_logged_name_for_all_customers():
    """Guards against logs that hide that customers' quarantined requests are equal."""
    digests = {digest_request(one, *REQUEST[1:]) for one in ("club", "rival", None)}
    assert len(digests) == 3
    assert len({logged_digest(digest) for digest in digests}) == 1


def test_a_digest_names_its_customer():
    of_club = {
        customer_part(digest_request("club", "GET", "h", f"/{n}", b""))
        for n in range(5)
    }
    assert len(of_club) == 1
    assert customer_part(digest_request("rival", "GET", "h", "/0", b"")) not in of_club


def test_bytes_of_a_path_that_are_no_text_have_a_digest():
    path = b"/\xff".decode("utf-8", "surrogateescape")
    assert len(digest_request("club", "GET", "h", path, b"")) == 32


def test_a_part_of_prompts_has_a_digest_of_its_own_for_each_customer():
    request = digest_request(*REQUEST)
    part = digest_part("club", 0xAA)
    assert is_part_digest(part)
    assert not is_part_digest(request)
    assert customer_part(part) == customer_part(request)
    assert len({part, digest_part("club", 0xAB), digest_part("rival", 0xAA)}) == 3
    assert len(logged_digest(part)) == len(logged_digest(request))
