"""Copies the present levels of one instance into its metrics."""

from sesameford.gateway.gateway_metrics import GatewayMetrics
from sesameford.gateway.load_system import LoadSystem
from sesameford.gateway.placement import Placement
from sesameford.gateway.second_sends import SecondSends
from sesameford.gateway.suspect_calls import SuspectCalls


def set_load_levels(metrics: GatewayMetrics, load: LoadSystem) -> None:
    """Set what was admitted, and at a replica the shares."""
    for admission, tokens in load.gate.account.totals.items():
        metrics.set_admitted_tokens(admission.value, tokens)
    if not load.has_disk:
        return
    shares = load.shares
    metrics.set_level("cold_permits", load.granted_permits)
    metrics.set_level("share_capacity_tokens", shares.capacity_tokens)
    metrics.set_level("share_routers", shares.routers)
    metrics.set_level("share_limited_customers", len(shares.fractions))
    metrics.set_level("share_wait_setpoint", shares.wait_setpoint_seconds)


def set_retry_totals(metrics: GatewayMetrics, second_sends: SecondSends) -> None:
    """Set how many retries were sent, and how many more the budget refused."""
    for service, allowed, refused in second_sends.totals():
        metrics.set_retries(service, "sent", allowed)
        metrics.set_retries(service, "refused", refused)


def set_target_levels(
    metrics: GatewayMetrics, placement: Placement, now_seconds: float
) -> None:
    """Set how many targets differ, rest or drain."""
    candidates = placement.candidates
    metrics.set_level("cold_sent", candidates.cold.requests_sent)
    metrics.set_level("targets_of_other_speed", placement.reports.count_other_speeds())
    in_backoff = candidates.notices.count_in_backoff(now_seconds)
    metrics.set_level("targets_in_backoff", in_backoff)
    metrics.set_level("targets_draining", candidates.notices.count_draining())


def set_suspect_levels(
    metrics: GatewayMetrics, calls: SuspectCalls, now_seconds: float
) -> None:
    """Set the crashes observed here, and the calls held back because of crashes."""
    suspects = calls.exchange.suspects
    quarantined = suspects.list_quarantined(now_seconds)
    metrics.set_level("target_crashes", calls.observed_crashes)
    metrics.set_level("suspected_calls", suspects.count_suspects())
    metrics.set_level("quarantined_calls", len(quarantined))
