"""The console of forms and the administration API.

Both change objects of the platform and nothing else; they hold no state that a
restart loses, but for who is signed in.
"""

from sardinehold import settings as settings_


def run(settings: settings_.ConsoleSettings) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code.

    :raises sardinehold.errors.SettingsError: the port or a file cannot be used.
    """
    # Imported here so that the library's users do not load the web server.
    from sardinehold.console import server

    return server.run(settings)
