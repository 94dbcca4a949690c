"""The operator's configurations in a soak: those of the mixed-versions check and moving routes."""
import json

from mixed_versions.configurations import HEALTH_PATH, Configuration, make_configuration
from mixed_versions.requests import HOST

MOVING_PREFIX = "/moving/"
SHARED_PREFIX = "/shared/"
MOVING_SERVICES = ("moving-even", "moving-odd")
TRIES = 2
GIVE_UP_MS = 5000


def moving_service(version: int) -> str:
    """Where the moving route leads in this version."""
    return MOVING_SERVICES[version % 2]


def make_soak_configuration(version: int) -> Configuration:
    """The configuration of this version."""
    document = json.loads(make_configuration(version).body)
    common = {"host": HOST, "sort": "harmless", "give_up_ms": GIVE_UP_MS, "target_ms": 500,
              "rank": 1, "tries": TRIES}
    document["routes"].append({"name": "moving", "path_start": MOVING_PREFIX,
                               "service": moving_service(version), **common})
    document["routes"].append({
        "name": "shared", "path_start": SHARED_PREFIX,
        "shares": [{"service": MOVING_SERVICES[0], "weight": 3},
                   {"service": MOVING_SERVICES[1], "weight": 1}], **common})
    document["services"] += [{"name": name, "health_path": HEALTH_PATH, "most_connections": 200,
                              "protocol": "h1", "encrypted": False} for name in MOVING_SERVICES]
    return Configuration(version, json.dumps(document).encode())


def make_invalid_configuration(version: int) -> bytes:
    """One that names a service that is not there."""
    document = json.loads(make_soak_configuration(version).body)
    document["routes"][0]["service"] = "nowhere"
    return json.dumps(document).encode()


def make_other_content(version: int) -> bytes:
    """A valid configuration under a version that another one has."""
    document = json.loads(make_soak_configuration(version).body)
    document["limits"]["quiet_ms"] += 1
    return json.dumps(document).encode()
