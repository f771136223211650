"""The addresses of sockets, parsed from ``host:port``."""

import typing


class Address(typing.NamedTuple):
    """An IP address or host name, and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Return the address that ``host:port`` names.

        An IPv6 address may stand in brackets.

        :raises ValueError: the text is not of that form.
        """
        host, colon, port = text.rpartition(":")
        is_number = port.isascii() and port.isdigit()
        if not colon or not host or not is_number or int(port) > 65535:
            raise ValueError(f"{text!r} is not of the form host:port")
        return cls(host=host.strip("[]"), port=int(port))

    def __str__(self):
        return f"{self.host}:{self.port}"
