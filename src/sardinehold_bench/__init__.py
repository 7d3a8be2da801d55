"""A load and experiment tool: open-loop traffic, measures, comparisons."""
