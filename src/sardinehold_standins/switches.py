"""Base class of fault switches, which are read and changed over HTTP."""


class Switches:
    """Fault switches of a stand-in; a subclass declares them as slots."""

    __slots__ = ()

    def change(self, value: dict) -> None:
        """Set the switches in ``value``; none is set if one is unknown.

        :raises KeyError: a switch does not exist.
        """
        for name in value:
            if name not in self.__slots__:
                raise KeyError(name)
        for name, setting in value.items():
            setattr(self, name, setting)

    def dump(self) -> dict:
        """Return the values of all switches by name."""
        return {name: getattr(self, name) for name in self.__slots__}
