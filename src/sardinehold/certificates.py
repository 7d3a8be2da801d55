"""TLS contexts that reload changed certificate files without a restart.

A renewed certificate is loaded into the context in use. New connections use it;
connections that are already open keep the certificate of their handshake.
"""

import pathlib
import ssl

from sardinehold import errors
from sardinehold import settings

CHECK_SECONDS = 10.0
"""Seconds between two checks of the files for changes."""


class Certificates:
    """The TLS context of one kind of connection.

    :param files: paths of certificate, private key and certificate authorities.
    :param purpose: ``ssl.Purpose.CLIENT_AUTH`` if this process is the server,
        ``ssl.Purpose.SERVER_AUTH`` if it is the client.
    :param context: the TLS context, None if the settings give no files.
    :raises sardinehold.errors.SettingsError: a file cannot be loaded.
    """

    __slots__ = ("files", "context", "_loaded_times")

    def __init__(self, files: settings.Tls, purpose: ssl.Purpose) -> None:
        """Load the files."""
        self.files = files
        self.context: ssl.SSLContext | None = None
        self._loaded_times: tuple[int, ...] = ()
        if not files.certificate and not files.authority:
            return
        context = ssl.create_default_context(purpose)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        _load(context, files, purpose)
        self.context = context
        self._loaded_times = self._read_times()

    def reload(self) -> bool:
        """Reload the files if they changed; return whether they were reloaded.

        :raises sardinehold.errors.SettingsError: the new files cannot be
            loaded; the previous ones stay in use.
        """
        if self.context is None:
            return False
        times = self._read_times()
        if times == self._loaded_times:
            return False
        validation_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        _load(validation_context, self.files, ssl.Purpose.CLIENT_AUTH)
        _load(self.context, self.files, None)
        self._loaded_times = times
        return True

    def _read_times(self) -> tuple[int, ...]:
        paths = (self.files.certificate, self.files.key, self.files.authority)
        try:
            return tuple(pathlib.Path(p).stat().st_mtime_ns for p in paths if p)
        except OSError as error:
            raise _build_error(self.files, error) from error


def _load(
    context: ssl.SSLContext, files: settings.Tls, purpose: ssl.Purpose | None
) -> None:
    """Load the files; with ``purpose`` None the verify mode is left unchanged."""
    try:
        if files.certificate:
            context.load_cert_chain(files.certificate, files.key or None)
        if files.authority:
            context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise _build_error(files, error) from error
    if purpose is ssl.Purpose.CLIENT_AUTH and files.authority:
        context.verify_mode = ssl.CERT_REQUIRED


def _build_error(files: settings.Tls, error: Exception) -> errors.SettingsError:
    paths = ", ".join(
        path for path in (files.certificate, files.key, files.authority) if path
    )
    return errors.SettingsError(
        f"The certificate files {paths} cannot be loaded: {error}.",
        "Check the paths in [tls], and that this user may read the PEM files.",
    )
