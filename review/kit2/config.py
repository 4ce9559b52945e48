"""Configurations, written as in PROTOCOL.md."""

from __future__ import annotations

from typing import Any

HOST = "ficu95.example"
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def route(name: str, prefix: str, backend: str, **fields: Any) -> dict[str, Any]:
    defaults: dict[str, Any] = {
        "kind": "unsafe",
        "timeoutMs": 8000,
        "targetMs": 500,
        "priority": 1,
        "retries": 1,
        "sticky": False,
        "resume": False,
    }
    return {"name": name, "host": HOST, "prefix": prefix, "backend": backend} | defaults | fields


def service(name: str, **fields: Any) -> dict[str, Any]:
    defaults: dict[str, Any] = {"healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False}
    return {"name": name} | defaults | fields


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}
