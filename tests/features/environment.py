"""Runs the scenarios of all features at once, a few deployments at a time."""

from __future__ import annotations

import concurrent.futures
import re
import typing

from bench import scenarios

JOBS = 4
SEED = 1
STEP = re.compile(r'"([^"]+)" happens under load(?: without "([^"]+)")?')


def before_all(context: typing.Any) -> None:
    context.pool = concurrent.futures.ProcessPoolExecutor(JOBS)
    context.futures_by_request = {}


def before_feature(context: typing.Any, feature: typing.Any) -> None:
    for scenario in feature.walk_scenarios():
        for step in scenario.steps:
            found = STEP.search(step.name)
            if found:
                submit(context, found[1], found[2] or "")


def submit(context: typing.Any, faults: str, without: str) -> typing.Any:
    """Return the future verdict of a run, started only once."""
    request = (faults, without)
    futures = context.futures_by_request
    if request not in futures:
        names = faults.split("+")
        futures[request] = context.pool.submit(
            scenarios.run, names, SEED, without, scenarios.SHORT
        )
    return futures[request]


def after_all(context: typing.Any) -> None:
    context.pool.shutdown(cancel_futures=True)
