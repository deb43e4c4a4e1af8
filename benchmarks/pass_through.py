"""A minimal HTTP proxy for streams, the baseline for a router's relaying cost.

``python -m benchmarks.pass_through --port 9300 --target http://127.0.0.1:9001``
"""

import asyncio
from argparse import ArgumentParser

import uvloop
from aiohttp import ClientSession, TCPConnector, web

from tools.shapes import HOST


async def serve(port: int, target: str) -> None:
    """Forward every completion to one target and relay its events until cancelled."""
    async with ClientSession(
        connector=TCPConnector(limit=0), auto_decompress=False
    ) as session:

        async def handle(http: web.Request) -> web.StreamResponse:
            body = await http.read()
            async with session.post(target + http.path, data=body) as response:
                answer = web.StreamResponse(
                    headers={"Content-Type": "text/event-stream"}
                )
                await answer.prepare(http)
                async for data in response.content.iter_any():
                    await answer.write(data)
            return answer

        app = web.Application()
        app.router.add_post("/v1/completions", handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        await asyncio.Event().wait()


def main() -> None:
    """Run the proxy until a signal ends it."""
    parser = ArgumentParser(description="Pass completions through.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    uvloop.run(serve(options.port, options.target))


if __name__ == "__main__":
    main()
