"""Runs one emulated backend server as a process."""

import signal
import threading
import typing

import typer

from jackdawlanding.emulator import backend

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def serve(
    port: typing.Annotated[int, typer.Option(help="Port to listen on.")],
    local_address: typing.Annotated[
        str, typer.Option(help="Where the daemon takes nested calls.")
    ] = "",
    slots: typing.Annotated[int, typer.Option(help="Requests that run at once.")] = 8,
    service_seconds: typing.Annotated[
        float, typer.Option(help="Seconds that one request takes.")
    ] = 0.005,
    queue: typing.Annotated[int, typer.Option(help="Requests that may wait.")] = 64,
    inner: typing.Annotated[
        list[str] | None,
        typer.Option(help="Nested call of each request, SERVICE/PATH."),
    ] = None,
):
    """Serve until SIGTERM or SIGINT."""
    nested_calls = tuple(
        (service, "/" + path)
        for service, _, path in (text.partition("/") for text in inner or ())
    )
    behaviour = backend.Behaviour(
        slots=slots,
        service_seconds=service_seconds,
        nested_calls=nested_calls,
        queue_length=queue,
    )
    server = backend.BackendServer(
        behaviour=behaviour, local_address=local_address, port=port
    )
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    server.start()
    stopped.wait()


if __name__ == "__main__":
    application()
