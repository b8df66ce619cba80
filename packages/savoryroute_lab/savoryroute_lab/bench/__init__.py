"""Benchmark of goodput and recovery beside an oracle and baselines."""
