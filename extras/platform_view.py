"""The stand-in platform as one region sees it."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from extras.cluster import HOST, request


class PlatformView:
    """Passes requests on to the platform as one region sees it.

    ``rewritten`` maps peer addresses in the instance list to those of proxies.
    """

    def __init__(self, platform: str):
        self.cut = threading.Event()
        self.rewritten: dict[str, str] = {}
        self._platform = platform
        self._server = ThreadingHTTPServer((HOST, 0), self._handler_class())
        self._server.daemon_threads = True
        self._server.handle_error = lambda *_arguments: None
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _handler_class(self):
        view = self

        class Handler(BaseHTTPRequestHandler):
            def handle_any(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                if view.cut.is_set():
                    self.close_connection = True
                    return
                answer = view.ask(self.command, self.path, body)
                self.send_response(answer.status)
                self.send_header("Content-Length", str(len(answer.body)))
                self.end_headers()
                self.wfile.write(answer.body)

            do_GET = do_PUT = do_POST = do_DELETE = handle_any

            def log_message(self, *_arguments):
                """Keep quiet."""

        return Handler

    def ask(self, method, path, body):
        """Ask the platform and rewrite the peer addresses in its answer."""
        answer = request(self._platform, method, path, body or None)
        if path.startswith("/instances"):
            text = answer.body.decode()
            for before, after in self.rewritten.items():
                text = text.replace(f'"{before}"', f'"{after}"')
            answer.body = text.encode()
        return answer
