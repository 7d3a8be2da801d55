"""Fault switches that are changed and shown over HTTP."""


class Switches:
    """Base of a stand-in's switches; a subclass names them as its slots."""

    __slots__ = ()

    def change(self, value: dict) -> None:
        """Set the switches that ``value`` names.

        :raises KeyError: it names a switch that does not exist.
        """
        for name in value:
            if name not in self.__slots__:
                raise KeyError(name)
        for name, setting in value.items():
            setattr(self, name, setting)

    def dump(self) -> dict:
        """Return all switches."""
        return {name: getattr(self, name) for name in self.__slots__}
