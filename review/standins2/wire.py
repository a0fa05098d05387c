"""Packets of the platform, as PROTOCOL.md gives them."""

import dataclasses
import socket
import struct
import zlib

HEADER = struct.Struct('<BBIIIHIHIIH')
SYN = 0x02
FIN = 0x08
BOUNCED = 0x10
ACK = 0x20
RST = 0x80
DATA_MAX = 1200
_KEY = b'key of the ends'


def to_number(address: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(address), 'big')


def to_text(number: int) -> str:
    """Return a number as an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


@dataclasses.dataclass
class Packet:
    """One packet of a flow."""

    flags: int
    seq: int
    ack: int
    echo: int
    src: int
    sport: int
    dst: int
    dport: int
    data: bytes = b''
    is_genuine: bool = True

    @classmethod
    def parse(cls, datagram: bytes) -> 'Packet':
        """Decode a packet and check its sum."""
        flags, _, seq, ack, echo, length, total, dport, dst, src, sport = (
            HEADER.unpack_from(datagram)
        )
        packet = cls(
            flags, seq, ack, echo, src, sport, dst, dport, datagram[HEADER.size :]
        )
        packet.is_genuine = (
            length == len(packet.data) and total == packet.sum()
        )
        return packet

    def sum(self) -> int:
        """Return the keyed sum over all fields but echo, pad and BOUNCED."""
        covered = struct.pack(
            '<BIIIHIH',
            self.flags & ~BOUNCED,
            self.seq,
            self.ack,
            self.src,
            self.sport,
            self.dst,
            self.dport,
        )
        return zlib.crc32(_KEY + covered + self.data)

    def render(self) -> bytes:
        """Encode the packet."""
        head = HEADER.pack(
            self.flags,
            0,
            self.seq,
            self.ack,
            self.echo,
            len(self.data),
            self.sum(),
            self.dport,
            self.dst,
            self.src,
            self.sport,
        )
        return head + self.data


def open_socket(address: str, port: int) -> socket.socket:
    """Open a non-blocking UDP socket."""
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setblocking(False)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    udp.bind((address, port))
    return udp


def free_ports(addresses: list[str], count: int) -> list[int]:
    """Find ports that are free on all addresses, for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
        probe.close()
        if port not in ports and all(_is_free(one, port) for one in addresses):
            ports.append(port)
    return ports


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True
