"""An HTTP server of a stand-in: one thread a connection, connections kept open."""
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class StandInHandler(BaseHTTPRequestHandler):
    """Base of the stand-ins' handlers: silent, buffered, with a length on every answer."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def log_message(self, format, *args):
        """Nothing is logged."""

    def read_body(self) -> bytes:
        """The request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Sends a whole answer."""
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A peer that closes its connection is no fault of the stand-in."""


class StandInServer:
    """Serves one address until it is closed."""

    def __init__(self, host: str, port: int, handler: type[StandInHandler]):
        self._server = _Server((host, port), handler)
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.05,),
                                        daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()
