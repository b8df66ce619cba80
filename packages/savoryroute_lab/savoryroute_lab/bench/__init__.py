"""Benchmark of goodput and recovery, compared with an oracle and baselines."""
