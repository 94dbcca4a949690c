"""Stand-in for the platform's list of backends, in pages."""
import json
from urllib.parse import parse_qs, urlsplit

from mixed_versions.addresses import PLATFORM_PORT
from mixed_versions.backend import CAPACITY, BackendSpec
from mixed_versions.http_stand_in import StandInHandler, StandInServer

_PAGE_SIZE = 4


def _entry(spec: BackendSpec) -> dict:
    return {"id": spec.identity, "service": spec.service, "address": spec.address,
            "zone": spec.zone, "version": "v1", "capacity": CAPACITY, "state": "ready",
            "warm_left_ms": 0}


def start_platform(host: str, backends: list[BackendSpec]) -> StandInServer:
    """Starts to list these backends."""

    class Handler(StandInHandler):
        """Answers GET /backends with an optional zone and page_token."""

        def do_GET(self):
            """One page of the list."""
            target = urlsplit(self.path)
            if target.path != "/backends":
                return self.answer(404, {}, b"")
            query = parse_qs(target.query)
            zone = query.get("zone", [None])[0]
            first = int(query.get("page_token", ["p-0"])[0].removeprefix("p-"))
            listed = [spec for spec in backends if zone in (None, spec.zone)]
            page = listed[first:first + _PAGE_SIZE]
            after = first + _PAGE_SIZE
            token = f"p-{after}" if after < len(listed) else None
            document = {"backends": [_entry(spec) for spec in page], "next_token": token}
            return self.answer(200, {"Content-Type": "application/json"},
                               json.dumps(document).encode())

    return StandInServer(host, PLATFORM_PORT, Handler)
