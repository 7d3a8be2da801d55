"""Builders of documents and settings, an in-memory platform and a console harness."""

import copy
import re

import anyio
import httpx

from sardinehold import document
from sardinehold import errors
from sardinehold import keys
from sardinehold import objects
from sardinehold.console import app
from sardinehold.console import context
from sardinehold.console import store

BOOTSTRAP = "shk_" + "b0" * 4 + "_" + "07" * 32

PROXY_INI = """\
[vm]
name = entry-1
zone = dallas
[proxy]
listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
[platform]
url = http://127.0.0.1:6490
"""

CONSOLE_INI = """\
[vm]
name = console-1
zone = dallas
[console]
listen = 127.0.0.1:0
[platform]
url = http://127.0.0.1:6490
"""


def build_key(number=1, withdrawn=False):
    return document.Key(f"{number:08x}", "0" * 16, f"{number:064x}", withdrawn)


def build_group(name="letters-1", first_port=6501):
    zones = ("dallas", "houston", "austin")
    endpoints = tuple(
        document.Endpoint(f"{name}{'abc'[i]}", "127.0.0.1", first_port + i, zones[i])
        for i in range(3)
    )
    return document.Group(name, endpoints, 3, 45)


def build_document(**parts):
    operator_key = document.Key("0a" * 4, "00" * 8, "00" * 32)
    fields = {
        "version": 1,
        "author": "ana",
        "reason": "first",
        "teams": {
            "desk": document.Team("desk", 100, 50, keys=(build_key(1),)),
            "print": document.Team("print", 50, 20, keys=(build_key(2),)),
        },
        "groups": {"letters-1": build_group()},
        "routes": {
            "letters": document.Route("letters", "letters-1", ("desk", "print")),
            "web": document.Route("web", "letters-1", ("print",), max_age=2.0),
        },
        "operators": {
            "ana": document.Operator("ana", document.Role.OPERATE, operator_key)
        },
    }
    fields.update(parts)
    return document.Document(**fields)


def build_value(**parts):
    return document.dump_document(build_document(**parts))


class InMemoryPlatform:
    """Object store in memory, with switches that simulate failures of the platform."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.writes = []
        self.groups = {}
        self.is_down = False
        self.lose_answers = 0
        self.lose_requests = 0

    def put(self, kind, name, value):
        self.revision += 1
        stored = objects.StoredObject(kind, name, self.revision, copy.deepcopy(value))
        self.objects[kind, name] = stored
        return stored

    def _require_up(self):
        if self.is_down:
            raise errors.PlatformUnavailable("The platform is down.", "Wait.")

    def _lose_request(self):
        self._require_up()
        if self.lose_requests:
            self.lose_requests -= 1
            raise errors.PlatformUnavailable("The request was lost.", "Wait.")

    def _write(self, kind, name, value):
        stored = self.put(kind, name, value)
        self.writes.append((kind, name))
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.PlatformUnavailable("The answer was lost.", "Wait.")
        return stored

    async def get(self, kind, name):
        self._require_up()
        if (kind, name) not in self.objects:
            raise errors.ObjectMissing("The object does not exist.", "Create it.")
        return copy.deepcopy(self.objects[kind, name])

    async def list(self, kinds):
        self._require_up()
        found = [o for o in self.objects.values() if o.kind in kinds]
        return objects.Changes(copy.deepcopy(found), self.revision)

    async def create(self, kind, name, value):
        self._lose_request()
        if (kind, name) in self.objects:
            raise errors.VersionConflict("The object exists.", "Read it.")
        return self._write(kind, name, value)

    async def update(self, kind, name, value, version):
        self._lose_request()
        stored = self.objects.get((kind, name))
        if stored is None or stored.version != version:
            raise errors.VersionConflict("The object has another version.", "Read it.")
        return self._write(kind, name, value)

    async def delete(self, kind, name, version):
        self._lose_request()
        if self.objects[kind, name].version != version:
            raise errors.VersionConflict("The object has another version.", "Read it.")
        del self.objects[kind, name]

    async def list_groups(self):
        found = [
            objects.StoredObject("group", name, 1, {"endpoints": endpoints})
            for name, endpoints in self.groups.items()
        ]
        return objects.Changes(found, self.revision)

    def read_document(self):
        return copy.deepcopy(self.objects["document", "current"].value)


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Client:
    """A browser without JavaScript that stores cookies and follows no redirects."""

    def __init__(self, app, base_url):
        self._client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app, raise_app_exceptions=False),
            base_url=base_url,
        )

    def get(self, path, **arguments):
        return self.request("GET", path, **arguments)

    def post(self, path, **arguments):
        return self.request("POST", path, **arguments)

    def request(self, method, path, **arguments):
        async def send():
            return await self._client.request(method, path, **arguments)

        return anyio.run(send)


class ConsoleHarness:
    """A console with an in-memory platform and operators who can sign in."""

    def __init__(self, config=None, is_secure=False):
        self.platform = InMemoryPlatform()
        self.clock = Clock()
        self.console = context.Console(
            store.Store(self.platform), BOOTSTRAP, is_secure, clock=self.clock
        )
        self.app = app.build_app(self.console)
        self.keys = {}
        if config is not None:
            self._add_operators(config)
            self.platform.put("document", "current", document.dump_document(config))

    def _add_operators(self, config):
        wanted = {
            "ana": (document.Role.OPERATE, ""),
            "vic": (document.Role.VIEW, ""),
            "dee": (document.Role.OPERATE, "desk"),
        }
        for name, (role, team) in wanted.items():
            generated = keys.generate_key()
            self.keys[name] = generated.text
            config.operators[name] = document.Operator(
                name, role, generated.record, team
            )

    def open_client(self):
        base = "https://testserver" if self.console.is_secure else "http://testserver"
        return Client(self.app, base)

    def sign_in(self, name="ana"):
        client = self.open_client()
        answer = client.post("/sign-in", data={"key": self.keys.get(name, BOOTSTRAP)})
        assert answer.status_code == 303, answer.text
        return client

    def call(self, method, path, name="ana", **arguments):
        headers = {"Authorization": f"Bearer {self.keys.get(name, BOOTSTRAP)}"}
        headers.update(arguments.pop("headers", {}))
        client = self.open_client()
        return client.request(method, f"/api/v1{path}", headers=headers, **arguments)


def read_hidden(text, name):
    return re.search(f'name="{name}" value="([^"]*)"', text)[1]


def submit_edit(client, edit, fields, query="", **changed):
    """Open the form of an edit, fill it in and submit it."""
    shown = client.get(f"/edits/{edit}{query}")
    assert shown.status_code == 200, shown.text
    form = {
        "csrf": read_hidden(shown.text, "csrf"),
        "base": read_hidden(shown.text, "base"),
        "reason": "because",
        "intent": "save",
        **fields,
        **changed,
    }
    return client.post(f"/edits/{edit}", data=form)
