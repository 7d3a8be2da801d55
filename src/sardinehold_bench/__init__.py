"""Load generator: open-loop traffic, measures and comparisons of results."""
