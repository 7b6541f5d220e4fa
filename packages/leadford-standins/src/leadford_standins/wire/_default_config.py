"""Give the configuration that the deployment of the stand-ins starts with.

It has one route of each kind, as the platform's operator would write it. Tests change
it before they put it into the store.
"""

HOST = "rooms.example"
KEY = "key-1"


def default_config() -> dict:
    """Return a configuration with one route of each kind."""
    stages = [
        {"service": "stage", "afterRev": [], "sizeBytes": 1_000},
        {"service": "stage", "afterRev": [0], "sizeBytes": 1_000},
    ]
    return {
        "version": 1,
        "routes": [
            _route("safe", "safe", "plain"),
            _route("unsafe", "unsafe", "plain", maxAttempts=1),
            _route("resumed", "stream", "engine", resumable=True, stages=stages),
            _route("once", "stream", "engine", maxAttempts=1, stages=stages),
        ],
        "services": _services(),
        "limits": {},
        "tenants": [{"name": "workspace-1", "apiKeys": [KEY]}],
    }


def _route(name: str, kind: str, service: str, **fields: object) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "service": service,
        "timeoutMs": 4_000,
        "goalMs": 1_000,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
        **fields,
    }


def _services() -> list[dict]:
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "callMs": 20.0,
        "itemMs": 1.0,
        "headroomMb": 1.0,
        "kvHandleS": 4.0,
    }
    engine = {"slots": 16, "kvCapacity": 100_000}
    return [
        {"name": "plain", "maxConns": 64},
        {"name": "stage", "maxConns": 64, "pieces": pieces},
        {"name": "engine", "maxConns": 64, "engine": engine},
    ]
