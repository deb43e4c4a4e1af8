"""Claims on idempotency keys: at most one run, whatever is resent and when."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.claims import (
    CLAIM_RETENTION_SECONDS,
    Claim,
    ClaimAnswer,
    ClaimOwner,
    ClaimRelease,
    ClaimReply,
    ClaimsMachine,
    ClaimVerdict,
    Completion,
    TakeOver,
    decode_claim_reply,
    encode_claim_command,
)

BODY = b"d" * 32
ANSWER = ClaimAnswer(200, (("Content-Type", "text/plain"),), b"whole")


def owner(request: str = "r1", router: str = "x", incarnation: int = 1) -> ClaimOwner:
    return ClaimOwner(router, incarnation, request)


def claim(key="k", request="r1", at=0.0, body=BODY, customer="c", router="x"):
    return Claim(customer, key, body, owner(request, router), at)


def apply(machine: ClaimsMachine, index: int, command: object) -> ClaimReply:
    return decode_claim_reply(machine.apply(index, encode_claim_command(command)))


def test_a_resend_through_another_router_joins_then_gets_the_stored_answer():
    """A caller loses its connection and resends through another router. Without the
    claim the request would run twice."""
    machine = ClaimsMachine()
    assert apply(machine, 5, claim()).verdict is ClaimVerdict.RUN
    joined = apply(machine, 6, claim(request="r2", router="y"))
    assert (joined.verdict, joined.claim_index) == (ClaimVerdict.JOIN, 5)
    assert joined.owner == owner()
    apply(machine, 7, Completion("c", "k", 5, ANSWER, 1.0))
    stored = apply(machine, 8, claim(request="r3", router="y"))
    assert (stored.verdict, stored.answer) == (ClaimVerdict.STORED, ANSWER)


def test_the_same_key_with_another_body_is_refused():
    """A caller reuses a key by mistake. It would take the stored answer for the
    answer to its new request."""
    machine = ClaimsMachine()
    apply(machine, 1, claim())
    other = apply(machine, 2, claim(request="r2", body=b"e" * 32))
    assert other.verdict is ClaimVerdict.OTHER_BODY


def test_a_late_release_does_not_free_a_key_that_ran_or_was_taken_over():
    """An isolated router's release arrives after another router took over the claim.
    Removing the claim then would allow a second run."""
    machine = ClaimsMachine()
    apply(machine, 1, claim())
    takeover = apply(machine, 2, TakeOver("c", "k", 1, owner("r2", "y"), 0.0))
    assert (takeover.verdict, takeover.claim_index) == (ClaimVerdict.RUN, 2)
    late = apply(machine, 3, ClaimRelease("c", "k", 1, 0.0))
    assert late.verdict is ClaimVerdict.SUPERSEDED
    apply(machine, 4, Completion("c", "k", 2, None, 0.0, certain=False))
    assert (
        apply(machine, 5, ClaimRelease("c", "k", 2, 0.0)).verdict
        is ClaimVerdict.SUPERSEDED
    )
    resend = apply(machine, 6, claim(request="r3"))
    assert resend.verdict is ClaimVerdict.MAY_HAVE_RUN


def test_one_fast_clock_does_not_expire_the_claims_of_all():
    """One router's clock is a day ahead. If the machine used it, every claim would
    expire at once and the resends of that hour would run a second time."""
    machine = ClaimsMachine()
    apply(machine, 1, claim(at=100.0, router="x"))
    apply(machine, 2, claim("k2", "r2", at=101.0, router="y"))
    apply(machine, 3, claim("k3", "r3", at=100.0 + 86_400.0, router="z"))
    assert apply(machine, 4, claim(request="r4", router="y")).verdict is (
        ClaimVerdict.JOIN
    )


def test_claims_expire_after_their_retention_time():
    machine = ClaimsMachine()
    apply(machine, 1, claim(at=0.0))
    late = CLAIM_RETENTION_SECONDS + 1.0
    again = apply(machine, 2, claim(request="r2", at=late))
    assert (again.verdict, len(machine)) == (ClaimVerdict.RUN, 1)


def test_a_burst_of_keys_leaves_free_rows_for_other_customers():
    """One customer sends thousands of keys. If they filled the table, the keyed
    requests of all other customers would be refused."""
    machine = ClaimsMachine(max_claims=100)
    verdicts = [
        apply(machine, n, claim(f"k{n}", f"r{n}")).verdict for n in range(1, 200)
    ]
    assert verdicts.count(ClaimVerdict.RUN) == 50
    assert verdicts[-1] is ClaimVerdict.FULL
    other = apply(machine, 300, claim(customer="small", request="r300"))
    assert other.verdict is ClaimVerdict.RUN


def test_large_answers_stay_with_their_router():
    machine = ClaimsMachine(max_total_answer_bytes=10_000)
    apply(machine, 1, claim())
    big = ClaimAnswer(200, (), b"x" * 9_000)
    apply(machine, 2, Completion("c", "k", 1, big, 0.0))
    apply(machine, 3, claim("k2", "r2"))
    apply(machine, 4, Completion("c", "k2", 3, big, 0.0))
    assert apply(machine, 5, claim(request="r5")).verdict is ClaimVerdict.STORED
    assert apply(machine, 6, claim("k2", "r6")).verdict is ClaimVerdict.RAN


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=60))
def test_malformed_commands_are_answered_and_change_nothing(command):
    machine = ClaimsMachine()
    before = machine.snapshot()
    reply = decode_claim_reply(machine.apply(1, command))
    assert reply.verdict is ClaimVerdict.MALFORMED
    assert machine.snapshot() == before


_COMMANDS = st.one_of(
    st.builds(
        claim,
        st.sampled_from("ab"),
        st.sampled_from(["r1", "r2"]),
        st.floats(0, 9_000),
        st.sampled_from([BODY, b"e" * 32]),
        st.sampled_from("cd"),
        st.sampled_from("xyz"),
    ),
    st.builds(
        Completion,
        st.sampled_from("cd"),
        st.sampled_from("ab"),
        st.integers(1, 30),
        st.sampled_from([None, ANSWER]),
        st.just(0.0),
        st.booleans(),
    ),
    st.builds(
        ClaimRelease,
        st.sampled_from("cd"),
        st.sampled_from("ab"),
        st.integers(1, 30),
        st.just(0.0),
    ),
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(_COMMANDS, max_size=30), st.integers(0, 30))
def test_a_replica_restored_from_a_snapshot_answers_as_the_others(commands, cut):
    """A replica restarts from a snapshot. If it then replied differently, a key would
    run on one side of a leader change and be refused on the other."""
    machine, restored = ClaimsMachine(max_claims=4), ClaimsMachine(max_claims=4)
    for index, command in enumerate(commands, 1):
        if index == cut:
            restored.restore(machine.snapshot())
        encoded = encode_claim_command(command)
        reply = machine.apply(index, encoded)
        if index >= cut:
            assert restored.apply(index, encoded) == reply
    if commands and cut <= len(commands):
        assert restored.snapshot() == machine.snapshot()
