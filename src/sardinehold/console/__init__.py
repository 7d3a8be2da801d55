"""The web console and the administration API.

Both change only objects of the platform. Sign-in sessions are the only state that
a restart loses.
"""

from sardinehold import settings as settings_


def run(settings: settings_.ConsoleSettings) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code.

    :raises sardinehold.errors.SettingsError: the port or a file cannot be used.
    """
    # Imported here so that importing the package does not load the web server.
    from sardinehold.console import server

    return server.run(settings)
