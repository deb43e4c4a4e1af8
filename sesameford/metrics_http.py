"""The HTTP endpoint for the metrics of an instance."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from aioprometheus import Registry
from aioprometheus.renderer import render


def make_metrics_handler(
    registry: Registry,
) -> Callable[[web.Request], Awaitable[web.Response]]:
    """Return a handler that renders the metrics of a registry."""

    async def metrics(request: web.Request) -> web.Response:
        body, headers = render(registry, request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    return metrics


def make_metrics_app(registry: Registry) -> web.Application:
    """Return an application that serves only metrics."""
    app = web.Application()
    app.router.add_get("/metrics", make_metrics_handler(registry))
    return app
