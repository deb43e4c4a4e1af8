"""Digests of what calls may have in common: the whole request, or parts of prompts.

Two requests have the same digest if the same customer sends the same method, host, path
with query, and body. Ids, deadlines and the point at which a stream resumes are no part
of it, as they change when a caller sends a request again. A part of a prompt has the
same digest in all prompts of a customer. Digests of the same request, or part, of
several customers differ in their first bytes alone, and log lines leave these out.
"""

from functools import lru_cache
from hashlib import sha256

# The first bytes of a digest identify the customer.
CUSTOMER_BYTES = 8
LENGTH_BYTES = 4
LOGGED_DIGITS = 16
NO_CUSTOMER = bytes(CUSTOMER_BYTES)
# The lengths of digests tell requests, parts and pairs of parts apart.
PART_DIGEST_BYTES = 24
PAIR_DIGEST_BYTES = 25
# Customers share a few parts among most of their prompts.
CACHED_PART_DIGESTS = 16_384


def digest_request(
    customer: str | None, method: str, host: str, target: str, body: bytes
) -> bytes:
    """Return the digest of a request; a caller can't find two requests with one digest.

    Args:
        customer: The customer's id, None if the route is public.
        method: The HTTP method.
        host: The host of the URL.
        target: The path with the query.
        body: The whole body.
    """
    content = sha256()
    for part in (method, host, target):
        encoded = _encode(part)
        # The length keeps the parts apart: no other parts yield the same bytes.
        content.update(len(encoded).to_bytes(LENGTH_BYTES))
        content.update(encoded)
    content.update(body)
    return digest_customer(customer) + content.digest()[CUSTOMER_BYTES:]


@lru_cache(CACHED_PART_DIGESTS)
def digest_part(customer: str | None, part_id: int) -> bytes:
    """Return the digest of a part of a customer's prompts.

    Args:
        customer: The customer's id, None if the route is public.
        part_id: The part's id.
    """
    part = sha256(b"part %x" % part_id).digest()
    return (digest_customer(customer) + part)[:PART_DIGEST_BYTES]


@lru_cache(CACHED_PART_DIGESTS)
def digest_pair(part: bytes, other: bytes) -> bytes:
    """Return the digest of two parts that stand in one prompt, in any order.

    Args:
        part: The digest of one of them.
        other: The digest of the other one, of the same customer.
    """
    pair = sha256(b"".join(sorted((content_name(part), content_name(other))))).digest()
    return (customer_part(part) + pair)[:PAIR_DIGEST_BYTES]


def is_part_digest(digest: bytes) -> bool:
    """Return whether a digest is that of a part of prompts, or of two parts."""
    return len(digest) in (PART_DIGEST_BYTES, PAIR_DIGEST_BYTES)


def is_pair_digest(digest: bytes) -> bool:
    """Return whether a digest is that of two parts of prompts."""
    return len(digest) == PAIR_DIGEST_BYTES


def content_name(digest: bytes) -> bytes:
    """Return what is equal in the digests of one content for all customers."""
    return digest[CUSTOMER_BYTES:]


def common_digest(digest: bytes) -> bytes:
    """Return the digest that a content has in common for all customers."""
    return NO_CUSTOMER + content_name(digest)


def digest_customer(customer: str | None) -> bytes:
    """Return the digest of a customer's id, with which all of its digests begin."""
    return sha256(_encode(customer or "")).digest()[:CUSTOMER_BYTES]


def customer_part(digest: bytes) -> bytes:
    """Return the part of a digest that is equal for all requests of a customer."""
    return digest[:CUSTOMER_BYTES]


def logged_digest(digest: bytes) -> str:
    """Return the digits by which log lines name a digest, the customer's left out."""
    return digest[CUSTOMER_BYTES:].hex()[:LOGGED_DIGITS]


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")
