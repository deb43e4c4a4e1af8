"""The metrics of one instance, as text."""

from aiohttp import web
from aioprometheus.renderer import render

from sesameford.gateway.tally import Tally


def make_metrics_app(tally: Tally) -> web.Application:
    """Return an application that shows what an instance counts."""

    async def metrics(request: web.Request) -> web.Response:
        body, headers = render(tally.registry, request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    app = web.Application()
    app.router.add_get("/metrics", metrics)
    return app
