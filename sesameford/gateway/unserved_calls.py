"""Counts admitted calls that ended before an engine began them, by reason.

Only the log names the reasons: shares follow what engines start, for whatever reason
the rest is lost.
"""

from sesameford.gateway.call_context import CallContext, GatewayDeps


def record_unserved_call(deps: GatewayDeps, context: CallContext, reason: str) -> None:
    """Record that an admitted call ended, if no engine has begun it.

    Args:
        deps: The router's parts.
        context: The call.
        reason: A short, stable code of how it ended.
    """
    prompt = context.call.prompt
    if prompt is None or context.first_event_seconds is not None:
        return
    deps.gate.record_lost(context.customer or "", reason, prompt.cost_tokens)
