"""Cost units: the cost of a request's usage, and its estimate without history."""

from sesameford.effective import EffectiveTree, ModelSettings, ServiceSettings
from sesameford.tables import Request, TargetKind, Usage

SERVICE_PRIOR_SECONDS = 0.1
# An estimate above zero: shares and virtual times are divided by costs.
MIN_COST_UNITS = 1e-6


def model_settings(tree: EffectiveTree, model: str) -> ModelSettings:
    """Return a model's settings, or the defaults where the tree has none."""
    return tree.models.get(model) or ModelSettings(model)


def service_settings(tree: EffectiveTree, service: str) -> ServiceSettings:
    """Return a service's settings, or the defaults where the tree has none."""
    return tree.services.get(service) or ServiceSettings(service)


def cost_of_usage(tree: EffectiveTree, request: Request, usage: Usage) -> float:
    """Return the cost of a request's usage.

    Args:
        tree: Tree with the rates.
        request: Request with the model or service.
        usage: Totals of the attempt.

    Returns:
        Cost units, never negative.
    """
    if request.kind is TargetKind.SERVICE:
        rate = service_settings(tree, request.resource).second_cost_units
        return usage.service_seconds * rate
    model = model_settings(tree, request.resource)
    fresh_tokens = max(0, usage.prompt_tokens - usage.cached_prompt_tokens)
    return (
        fresh_tokens * model.prompt_token_cost_units
        + usage.cached_prompt_tokens * model.cached_prompt_token_cost_units
        + usage.output_tokens * model.output_token_cost_units
    )


def estimate_cost(tree: EffectiveTree, request: Request) -> float:
    """Return the estimated cost of a request without history.

    Args:
        tree: Tree with the rates and the default answer length.
        request: The request; its hint, where given, is used unchanged.

    Returns:
        Cost units above zero.
    """
    if request.hint_cost_units is not None:
        return max(request.hint_cost_units, MIN_COST_UNITS)
    if request.kind is TargetKind.SERVICE:
        usage = Usage(service_seconds=SERVICE_PRIOR_SECONDS)
    else:
        tokens = model_settings(tree, request.resource).default_output_tokens
        usage = Usage(prompt_tokens=request.prompt_tokens, output_tokens=tokens)
    return max(cost_of_usage(tree, request, usage), MIN_COST_UNITS)
