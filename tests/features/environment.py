"""Starts the runs of all scenarios in a process pool before the steps need them."""

from __future__ import annotations

import concurrent.futures
import pathlib
import re
import typing

from bench import scenarios

JOBS = 4
SEED = 1
KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
STEP = re.compile(
    r'"([^"]+)" happens under load( with repeats)?(?: without "([^"]+)")?'
)


def before_all(context: typing.Any) -> None:
    context.pool = concurrent.futures.ProcessPoolExecutor(JOBS)
    context.futures_by_step = {}
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    context.known_red = {line.removeprefix("behave: ").strip() for line in lines}


def before_feature(context: typing.Any, feature: typing.Any) -> None:
    for scenario in feature.walk_scenarios():
        if scenario.name.strip() in context.known_red:
            scenario.skip("listed in KNOWN-RED.txt")
            continue
        for step in scenario.steps:
            found = STEP.search(step.name)
            if found:
                repeat_ratio = scenarios.REPEAT_RATIO if found[2] else 0.0
                context.futures_by_step[step.name] = context.pool.submit(
                    scenarios.run,
                    found[1].split("+"),
                    SEED,
                    found[3] or "",
                    scenarios.SHORT_TIMING,
                    repeat_ratio,
                )


def after_all(context: typing.Any) -> None:
    context.pool.shutdown(cancel_futures=True)
