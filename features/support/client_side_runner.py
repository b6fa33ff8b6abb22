"""Starts and stops a ``client_side_process`` for tests."""

from __future__ import annotations

import atexit
import datetime
import ipaddress
import json
import shutil
import ssl
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
import psycopg
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from features.support.back_end_lab import free_port
from features.support.wire_client import SSL_REQUEST, WireClient

HOST = "127.94.0.1"
WAIT_S = 10.0
PASSWORD = "secret"
DATABASE = "acme/main"


class ClientSide:
    """One process with the client side of a proxy.

    :param certificate: common name of its TLS certificate, or empty for no TLS
    :param tls_required: whether logins without TLS are refused
    :param disabled_safeguard: safeguard of the drain to disable, or empty
    """

    def __init__(
        self, certificate: str = "", tls_required: bool = False, disabled_safeguard: str = ""
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="limedyke-client-side-"))
        self.address = (HOST, free_port(HOST))
        if certificate:
            self.write_certificate(certificate)
        if tls_required:
            (self.folder / "tls-required").touch()
        if disabled_safeguard:
            (self.folder / "disabled-safeguard").write_text(disabled_safeguard)
        command = [sys.executable, "-m", "features.support.client_side_process"]
        command += [f"{HOST}:{self.address[1]}", str(self.folder)]
        with open(self.folder / "output", "wb") as output, open(self.folder / "log", "wb") as log:
            self.process = subprocess.Popen(command, stdout=output, stderr=log)
        self.wait(lambda: (self.folder / "output").read_bytes().startswith(b"ready"))

    def wait(self, condition) -> None:
        """Poll a condition until it holds."""
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError("condition not reached in time")
            time.sleep(0.005)

    @property
    def work(self) -> list[dict]:
        """The units and abandoned work items that the process has reported so far."""
        lines = (self.folder / "output").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    @property
    def log(self) -> str:
        """The log of the process so far."""
        return (self.folder / "log").read_text()

    @property
    def memory(self) -> int:
        """Resident bytes of the process."""
        return psutil.Process(self.process.pid).memory_info().rss

    @property
    def sockets(self) -> int:
        """Number of the process's open files."""
        return psutil.Process(self.process.pid).num_fds()

    def release(self, name: str) -> None:
        """Let statements with ``pause(NAME)`` continue."""
        (self.folder / name).touch()

    def wire(self, source: str = "") -> WireClient:
        """Open a raw connection."""
        return WireClient(self.address, source)

    def logged_in(self, source: str = "", **settings: str) -> WireClient:
        """Open a raw connection and log in."""
        client = self.wire(source)
        parameters = {"user": "app", "database": DATABASE} | settings
        received = client.log_in(parameters, PASSWORD)
        assert received[-1][0] == b"Z", received[-1]
        return client

    def psycopg(self, **options: object) -> psycopg.Connection:
        """Open a psycopg connection."""
        values = {"dbname": DATABASE, "user": "app", "password": PASSWORD, "sslmode": "disable"}
        host, port = self.address
        return psycopg.connect(host=host, port=port, autocommit=True, **(values | options))

    def certificate_name(self) -> str:
        """Return the common name of the certificate that a new connection gets."""
        client = self.wire()
        client.send(SSL_REQUEST)
        assert client.receive_byte() == b"S"
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        with context.wrap_socket(client.socket) as wrapped:
            der = wrapped.getpeercert(binary_form=True)
        names = x509.load_der_x509_certificate(der).subject
        return names.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value

    def write_certificate(self, name: str) -> None:
        """Write a new self-signed certificate with this common name, and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(HOST))]), False
            )
        )
        certificate = builder.sign(key, hashes.SHA256())
        pem = serialization.Encoding.PEM
        form = serialization.PrivateFormat.PKCS8
        private = key.private_bytes(pem, form, serialization.NoEncryption())
        (self.folder / "key.pem").write_bytes(private)
        (self.folder / "cert.pem").write_bytes(certificate.public_bytes(pem))

    def stop(self) -> None:
        """Kill the process and remove its folder."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


_shared: dict[str, ClientSide] = {}


def shared_client_side(certificate: str = "") -> ClientSide:
    """Return the process shared by scenarios that do not change its state."""
    if certificate not in _shared:
        _shared[certificate] = ClientSide(certificate)
        atexit.register(_shared[certificate].stop)
    return _shared[certificate]
