"""Runs one stand-in backend server as a process of its own."""

import signal
import threading
import typing

import typer

from jackdawlanding.emulator import backend

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def serve(
    port: typing.Annotated[int, typer.Option(help="Where to listen.")],
    local_address: typing.Annotated[
        str, typer.Option(help="The daemon's side for inner calls.")
    ] = "",
    slots: typing.Annotated[int, typer.Option(help="Requests run at once.")] = 8,
    service_seconds: typing.Annotated[
        float, typer.Option(help="Time that one request takes.")
    ] = 0.005,
    queue: typing.Annotated[int, typer.Option(help="Requests that may wait.")] = 64,
    inner: typing.Annotated[
        list[str] | None, typer.Option(help="An inner call, SERVICE/PATH.")
    ] = None,
):
    """Serve until told to stop by SIGTERM."""
    calls = tuple(
        (service, "/" + path)
        for service, _, path in (one.partition("/") for one in inner or ())
    )
    behaviour = backend.Behaviour(
        slots=slots, service_seconds=service_seconds, inner=calls, queue=queue
    )
    server = backend.BackendServer(
        behaviour=behaviour, local_address=local_address, port=port
    )
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    server.start()
    stopped.wait()


if __name__ == "__main__":
    application()
