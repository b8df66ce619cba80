"""Starts and stops a deployment as separate processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping

import aiohttp
import attrs

from .deployment import UpstreamSpec
from .http import LOOPBACK, client_session
from .records import Execution, read_executions
from .wiring import Wiring

__all__ = ["Launcher", "NotReadyError", "daemon_name", "upstream_name"]

PLATFORM = "platform"
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.1
STOP_TIMEOUT_S = 5.0
LOG_TAIL_BYTES = 2000


class NotReadyError(Exception):
    """A process exited before it was ready, or was not ready in time."""


def daemon_name(host: str) -> str:
    """Return the process name of a host's daemon."""
    return f"daemon-{host}"


def upstream_name(host: str) -> str:
    """Return the process name of a host's upstream."""
    return f"upstream-{host}"


@attrs.define
class _Child:
    command: list[str]
    ready_url: str
    process: subprocess.Popen[bytes] | None = None


class Launcher:
    """Processes of one deployment.

    Args:
        wiring: Addresses of the deployment.
        upstream_settings: Additional fields of ``UpstreamSettings`` of all upstreams.
        has_daemons: Whether to run daemons; otherwise upstreams call each other
            directly.
        interpreter_options: Options of the Python interpreter by daemon process, for
            example to run it under a profiler.
    """

    def __init__(
        self,
        wiring: Wiring,
        upstream_settings: Mapping[str, object] | None = None,
        has_daemons: bool = True,
        interpreter_options: Mapping[str, list[str]] | None = None,
    ) -> None:
        self._wiring = wiring
        self._upstream_settings = dict(upstream_settings or {})
        self._has_daemons = has_daemons
        self._interpreter_options = dict(interpreter_options or {})
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="savoryroute-lab-"))
        self._children: dict[str, _Child] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def folder(self) -> pathlib.Path:
        """Folder with logs, settings and records."""
        return self._folder

    @property
    def names(self) -> list[str]:
        """Names of all processes, in the order of their start."""
        return list(self._children)

    async def start(self) -> None:
        """Start all processes and wait until they are ready.

        Raises:
            NotReadyError: A process exited, or was not ready in time.
        """
        self._session = client_session()
        self._add_platform()
        used_ports: set[int] = set()
        for upstream in self._wiring.deployment.upstreams:
            port = self._wiring.ports[upstream.host].upstream
            if port not in used_ports:
                self._add_upstream(upstream)
            used_ports.add(port)
        await self._start_all(self.names)
        await self.publish_all(version=1)
        if not self._has_daemons:
            return
        daemons = [
            self._add_daemon(upstream) for upstream in self._wiring.deployment.upstreams
        ]
        await self._start_all(daemons)

    async def stop(self) -> None:
        """Terminate all processes, daemons first, and wait for them to exit.

        A process that still runs after ``STOP_TIMEOUT_S`` is killed.
        """
        for name in reversed(self.names):
            self._send_signal(name, signal.SIGCONT)
            self._send_signal(name, signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for name in self.names:
            await self._wait_stopped(name, deadline_s)
        if self._session is not None:
            await self._session.close()

    def remove_folder(self) -> None:
        """Remove logs, settings and records; call it after ``stop``."""
        shutil.rmtree(self._folder)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._send_signal(name, signal.SIGKILL)
        self._process(name).wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._send_signal(name, signal.SIGCONT)

    async def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        self._send_signal(name, signal.SIGTERM)
        await self._wait_stopped(name, time.monotonic() + STOP_TIMEOUT_S)
        return self._process(name).returncode

    async def wait_ended(self, name: str) -> int:
        """Wait until a process exits on its own and return its exit code.

        Raises:
            TimeoutError: The process still runs after ``STOP_TIMEOUT_S``.
        """
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while self.is_running(name):
                await asyncio.sleep(READY_POLL_S)
        return self._process(name).returncode

    async def restart(self, name: str) -> None:
        """Start a process that has exited, and wait until it is ready.

        Raises:
            NotReadyError: The process exited, or was not ready in time.
        """
        await self._start_all([name])

    async def restart_ended(self) -> list[str]:
        """Restart the upstreams that have exited, and return their names."""
        exited = [
            name
            for name in self.names
            if name.startswith(upstream_name("")) and not self.is_running(name)
        ]
        await self._start_all(exited)
        return exited

    def pid(self, name: str) -> int:
        """Return the process id of a process.

        Raises:
            NotReadyError: The process was never started.
        """
        return self._process(name).pid

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        process = self._children[name].process
        return process is not None and process.poll() is None

    def executions(self) -> list[Execution]:
        """Return the executions of all upstreams, including those before restarts."""
        executions: list[Execution] = []
        for path in sorted(self._folder.glob("*.executions")):
            executions.extend(read_executions(path))
        return executions

    async def set_upstream(self, host: str, **changes: object) -> None:
        """Change settings of an upstream at run time."""
        port = self._wiring.ports[host].control
        await self._post(f"http://{LOOPBACK}:{port}/lab/set", changes)

    async def set_service(self, service: str, **changes: object) -> None:
        """Change settings of all running upstreams of a service."""
        for upstream in self._wiring.deployment.upstreams:
            if upstream.service.name != service:
                continue
            if self.is_running(upstream_name(upstream.host)):
                await self.set_upstream(upstream.host, **changes)

    async def set_platform(self, path: str, **members: object) -> None:
        """Post to a path of the platform's control port, ``outage`` or ``stale``."""
        await self._post(f"{self._platform_control()}/{path}", members)

    async def publish(self, key: str, body: str) -> int:
        """Publish a value on the platform and return its revision."""
        url = f"{self._platform_control()}/values/{key}"
        async with self._session.put(url, data=body.encode()) as response:
            response.raise_for_status()
            return (await response.json())["revision"]

    async def publish_all(self, version: int) -> None:
        """Publish the production and trial documents and the list of hosts."""
        for environment in ("production", "trial"):
            document = self._wiring.deployment.document(environment, version)
            await self.publish(f"documents/{environment}", json.dumps(document))
        await self.publish("hosts", self._wiring.hosts())

    def _add_platform(self) -> None:
        port = self._wiring.platform_port
        control_port = self._wiring.platform_control_port
        command = _module("savoryroute_lab.platform")
        command += [f"--port={port}", f"--control-port={control_port}"]
        ready_url = f"http://{LOOPBACK}:{control_port}/lab/counts"
        self._children[PLATFORM] = _Child(command, ready_url)

    def _add_upstream(self, upstream: UpstreamSpec) -> None:
        ports = self._wiring.ports[upstream.host]
        settings = {
            "service": upstream.service.name,
            "host": upstream.host,
            "slots": upstream.slots,
            "connections": upstream.connections,
            "work_s": upstream.service.work_s,
            **self._upstream_settings,
        }
        command = _module("savoryroute_lab.upstream")
        command += [f"--port={ports.upstream}", f"--control-port={ports.control}"]
        command += [f"--settings={json.dumps(settings)}"]
        command += [f"--record={self._folder / upstream.host}.executions"]
        if self._has_daemons:
            command += [f"--upstream-side={LOOPBACK}:{ports.upstream_side}"]
        else:
            command += self._direct_options()
        ready_url = f"http://{LOOPBACK}:{ports.upstream}/health"
        self._children[upstream_name(upstream.host)] = _Child(command, ready_url)

    def _direct_options(self) -> list[str]:
        addresses = self._wiring.upstream_addresses()
        return [
            f"--direct={service}={address}"
            for service, service_addresses in addresses.items()
            for address in service_addresses
        ]

    def _add_daemon(self, upstream: UpstreamSpec) -> str:
        path = self._folder / f"{upstream.host}.json5"
        settings = self._wiring.daemon_settings(upstream)
        path.write_text(json.dumps(settings, indent=1))
        port = self._wiring.ports[upstream.host].operators
        name = daemon_name(upstream.host)
        options = self._interpreter_options.get(name, [])
        command = [sys.executable, *options, "-m", "savoryroute.daemon", str(path)]
        self._children[name] = _Child(command, f"http://{LOOPBACK}:{port}/readyz")
        return name

    async def _start_all(self, names: list[str]) -> None:
        for name in names:
            self._spawn(name)
        for name in names:
            await self._wait_ready(name)

    def _spawn(self, name: str) -> None:
        child = self._children[name]
        with (self._folder / f"{name}.log").open("ab") as log:
            child.process = subprocess.Popen(
                child.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ,
            )

    async def _wait_ready(self, name: str) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if not self.is_running(name):
                raise NotReadyError(
                    f"{name} exited while starting; log tail: {self._log_tail(name)}"
                )
            if await self._is_ready(self._children[name].ready_url):
                return
            await asyncio.sleep(READY_POLL_S)
        raise NotReadyError(
            f"{name} was not ready in time; log tail: {self._log_tail(name)}"
        )

    async def _is_ready(self, url: str) -> bool:
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=1.0)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _wait_stopped(self, name: str, deadline_s: float) -> None:
        process = self._children[name].process
        if process is None:
            return
        while process.poll() is None and time.monotonic() < deadline_s:
            await asyncio.sleep(READY_POLL_S)
        if process.poll() is None:
            process.kill()
            process.wait()

    def _log_tail(self, name: str) -> str:
        content = (self._folder / f"{name}.log").read_bytes()
        return content[-LOG_TAIL_BYTES:].decode(errors="replace")

    def _process(self, name: str) -> subprocess.Popen[bytes]:
        process = self._children[name].process
        if process is None:
            raise NotReadyError(f"{name} has not been started")
        return process

    def _send_signal(self, name: str, number: signal.Signals) -> None:
        process = self._children[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def _platform_control(self) -> str:
        return f"http://{LOOPBACK}:{self._wiring.platform_control_port}/lab"

    async def _post(self, url: str, members: Mapping[str, object]) -> None:
        async with self._session.post(url, json=members) as response:
            response.raise_for_status()


def _module(name: str) -> list[str]:
    return [sys.executable, "-m", name]
