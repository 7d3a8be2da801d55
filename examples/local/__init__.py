"""A local fleet for the demo."""
