"""Baseline of the request path: a forwarder that uses the curl client.

It does not queue, count, check or retry requests.
"""

import argparse
import asyncio
import itertools

from tornado import curl_httpclient
from tornado import httpserver
from tornado import web


class ForwardHandler(web.RequestHandler):
    """Forwards request bodies to the targets in turn."""

    def initialize(
        self,
        client: curl_httpclient.CurlAsyncHTTPClient,
        urls: "itertools.cycle[str]",
    ) -> None:
        """Store the client and the target URLs."""
        self._client = client
        self._urls = urls

    async def post(self) -> None:
        """Forward a request to the next target."""
        response = await self._client.fetch(
            next(self._urls),
            method="POST",
            body=self.request.body,
            headers={"X-Request-Id": "bare"},
        )
        self.set_header("Content-Type", response.headers["Content-Type"])
        self.finish(response.body)


async def serve(port: int, targets: list[str]) -> None:
    """Serve until the process is stopped."""
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=1024
    )
    urls = itertools.cycle(f"http://{each}/v1/work" for each in targets)
    application = web.Application(
        [(r"/.*", ForwardHandler, {"client": client, "urls": urls})],
        log_function=lambda _handler: None,
    )
    httpserver.HTTPServer(application).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def main() -> None:
    """Run the forwarder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", action="append", required=True)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.port, arguments.target))


if __name__ == "__main__":
    main()
