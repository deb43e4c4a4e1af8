"""Tools for developers: demo, load generator, capacity planner, fuzzers and soaks."""
