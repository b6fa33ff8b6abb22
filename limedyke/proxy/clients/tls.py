"""TLS for client connections, with certificates that are reloaded on SIGHUP."""

from __future__ import annotations

import signal
import ssl
from types import FrameType

import curio
from curio import socket
from curio.ssl import CurioSSLContext
from result import Err, Ok, Result

from limedyke.event_log import EventLog
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.proxy import TlsSettings

HANGUP_CHECK_S = 0.2
LOG = EventLog("tls")


class ClientTls:
    """The certificate in use; new connections use the one loaded last."""

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._context: CurioSSLContext | None = None

    def load(self) -> Result[None, Failure]:
        """Read the certificate and key; on failure the previous ones stay in use."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(self._settings.certificate, self._settings.private_key)
        except (OSError, ssl.SSLError) as error:
            detail = f"tls: {self._settings.certificate}: {error}"
            return Err(Failure(ResultCode.SETTINGS_INVALID, detail))
        self._context = CurioSSLContext(context)
        return Ok(None)

    async def wrap(self, sock: socket.socket, timeout_s: float) -> socket.socket:
        """Start TLS as the server.

        :param timeout_s: time limit of the handshake
        :raises OSError: when the handshake fails or takes too long
        """
        wrapped = await self._context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        try:
            async with curio.timeout_after(timeout_s):
                await wrapped.do_handshake()
        except (curio.TaskTimeout, ssl.SSLError) as error:
            await wrapped.close()
            raise ConnectionError(f"TLS handshake: {error}") from error
        return wrapped


class ReloadOnHangup:
    """Reloads the certificate after each SIGHUP.

    :param tls: None if TLS is not configured; SIGHUP is then ignored
    """

    def __init__(self, tls: ClientTls | None) -> None:
        self._tls = tls
        self._hangup = False
        signal.signal(signal.SIGHUP, self._note_hangup)

    def _note_hangup(self, number: int, frame: FrameType | None) -> None:
        self._hangup = True

    async def run(self) -> None:
        """Check for SIGHUP until cancelled."""
        while True:
            await curio.sleep(HANGUP_CHECK_S)
            if not self._hangup or self._tls is None:
                continue
            self._hangup = False
            loaded = self._tls.load()
            if isinstance(loaded, Err):
                LOG.error("not-reloaded", reason=loaded.err_value)
            else:
                LOG.info("reloaded")
