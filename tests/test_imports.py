"""The core imports no I/O library, and all modules can be imported together."""

import ast
import importlib
import pathlib
import pkgutil

import pytest

import sardinehold
import sardinehold_bench
import sardinehold_standins

CORE = pathlib.Path(__file__).parent.parent / "src" / "sardinehold" / "core"
FORBIDDEN = {
    "anyio",
    "asyncio",
    "grpclib",
    "httpx",
    "logbook",
    "random",
    "socket",
    "ssl",
    "starlette",
    "threading",
    "time",
    "uvicorn",
}


def find_imports(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


@pytest.mark.parametrize("path", sorted(CORE.rglob("*.py")), ids=lambda p: p.name)
def test_core_module_imports_no_io(path):
    assert not find_imports(path) & FORBIDDEN


def test_forbidden_import_is_found(tmp_path):
    module = tmp_path / "module.py"
    module.write_text("import time\nfrom anyio import abc\n", encoding="utf-8")
    assert find_imports(module) & FORBIDDEN == {"time", "anyio"}


def test_all_modules_load_into_one_process():
    names = [
        module.name
        for package in (sardinehold, sardinehold_bench, sardinehold_standins)
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}.")
    ]
    loaded = [importlib.import_module(name) for name in names]
    assert len(loaded) > 50
