"""Plays variants of the system on the same days with the same seeds and compares them.

Usage:
  experiment FILE --bench PROGRAM [--jobs N] [--work DIR] [--table]
  experiment --help

Options:
  --bench PROGRAM  Program that plays the days.
  --jobs N         Days that are played at the same time [default: 3].
  --work DIR       Directory for the variants' source trees and the reports, outside the
                   repository; it keeps what has been played, so that an interrupted
                   experiment goes on [default: ../experiments].
  --table          Play nothing; print the table of what has been played.

FILE is a TOML file. The first variant is the one that the others are compared with.

  why = "What the experiment is for; goes into the journal"

  [[variant]]
  name = "before"
  revision = "8954bf9"        # git revision; HEAD by default

  [[variant]]
  name = "no-hedging"
  patch = "no-hedging.patch"  # applied to the revision; path relative to FILE
  [variant.constants]         # "module file:NAME" = Python expression
  "decide/hedging.py:MIN_GAIN_S" = "9.0"

  [[site]]
  file = "../sites/small.toml"  # path relative to FILE
  days = ["trouble-1", "own.toml"]
  seeds = [0, 11, 12]           # 0 is the seed that the day itself names

The table has a row for each day and seed with the worth of the first variant and the
differences of the others, the mean difference of each variant and its standard error.
A variant with a neutral edit shows how large the differences without a cause are.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import hashlib
import math
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tomllib
from collections.abc import Iterator

import docopt
import msgspec

from bench import adapter

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE_DIRECTORY = pathlib.Path("src") / "snipelink"
# Time limit of one play, seconds.
PLAY_TIMEOUT_S = 1800.0
# Characters of a variant's digest that name its source tree.
DIGEST_LENGTH = 10


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """Changes to a revision of the source tree."""

    name: str
    revision: str = "HEAD"
    patch: str = ""
    constants: dict[str, str] = msgspec.field(default_factory=dict)


class Site(msgspec.Struct, forbid_unknown_fields=True):
    """Days of one site, each played with all seeds."""

    file: str
    days: list[str]
    seeds: list[int] = msgspec.field(default_factory=lambda: [0])


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """Variants and the days on which they are compared."""

    why: str
    variant: list[Variant]
    site: list[Site]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One day with one seed."""

    site: pathlib.Path
    day: str
    seed: int

    @property
    def name(self) -> str:
        """Name of the case in the table and of its report file."""
        seed = f"-{self.seed}" if self.seed else ""
        return f"{self.site.stem}-{pathlib.Path(self.day).stem}{seed}"


class ConstantError(ValueError):
    """A constant to replace is not assigned exactly once in its module."""


def load(path: pathlib.Path) -> Experiment:
    """Read an experiment; raises ``MsgspecError`` if the file is invalid."""
    return msgspec.convert(tomllib.loads(path.read_text()), Experiment)


def cases(experiment: Experiment, directory: pathlib.Path) -> Iterator[Case]:
    """Yield the cases; paths in the experiment are relative to `directory`."""
    for site in experiment.site:
        for day in site.days:
            is_file = day.endswith(".toml")
            name = str((directory / day).resolve()) if is_file else day
            for seed in site.seeds:
                yield Case((directory / site.file).resolve(), name, seed)


def replace_constant(source: str, name: str, expression: str) -> str:
    """Return the source with another value of a module's constant."""
    pattern = re.compile(rf"^{re.escape(name)}\b(: [^=\n]+)? = .*$", re.MULTILINE)
    changed, count = pattern.subn(lambda _: f"{name} = {expression}", source)
    if count != 1:
        raise ConstantError(f"{name} is assigned {count} times")
    return changed


def table(plays_by_variant: dict[str, dict[str, adapter.platform_bench.Play]]) -> str:
    """Return the comparison of the variants with the first one.

    Parameters
    ----------
    plays_by_variant : dict
        Plays by the name of the variant and of the case.
    """
    names = list(plays_by_variant)
    first = plays_by_variant[names[0]]
    lines = [f"{'case':42}" + "".join(f"{name[:16]:>18}" for name in names)]
    differences: dict[str, list[float]] = {name: [] for name in names[1:]}
    for case, play in first.items():
        cells = [f"{play.worth:18.3f}"]
        for name in names[1:]:
            other = plays_by_variant[name].get(case)
            if other is None:
                cells.append(f"{'-':>18}")
                continue
            differences[name].append(other.worth - play.worth)
            cells.append(f"{other.worth - play.worth:+18.3f}{_mark(other)}")
        lines.append(f"{case[:42]:42}{cells[0]}{_mark(play)}{''.join(cells[1:])}")
    if first:
        mean = statistics.fmean(play.worth for play in first.values())
        summary = "".join(_summary(differences[name]) for name in names[1:])
        lines.append(f"{'mean':42}{mean:18.3f}{summary}")
    return "\n".join(lines)


def _mark(play: adapter.platform_bench.Play) -> str:
    return "!" if play.fault or play.broken_rules else ""


def _summary(differences: list[float]) -> str:
    if not differences:
        return f"{'-':>18}"
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return f"{mean:+18.3f}"
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return f"{mean:+11.3f} ±{error:5.3f}"


def _prepare(
    variant: Variant, directory: pathlib.Path, work: pathlib.Path, bench: pathlib.Path
) -> pathlib.Path:
    """Create and build the source tree of a variant; return its directory."""
    command = ["git", "rev-parse", variant.revision]
    revision = subprocess.run(
        command, cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.strip()
    patch = (directory / variant.patch).read_bytes() if variant.patch else b""
    parts = [revision.encode(), patch, repr(sorted(variant.constants.items())).encode()]
    digest = hashlib.sha256(b"\0".join(parts)).hexdigest()[:DIGEST_LENGTH]
    tree = work / digest
    if (tree / ".prepared").exists():
        return tree
    shutil.rmtree(tree, ignore_errors=True)
    subprocess.run(["git", "clone", "-q", "--shared", str(ROOT), str(tree)], check=True)
    subprocess.run(["git", "checkout", "-q", revision], cwd=tree, check=True)
    if patch:
        subprocess.run(["git", "apply"], cwd=tree, input=patch, check=True)
    for location, expression in variant.constants.items():
        file, _, name = location.partition(":")
        module = tree / SOURCE_DIRECTORY / file
        module.write_text(replace_constant(module.read_text(), name, expression))
    subprocess.run(
        adapter.platform_bench.build_command(bench),
        cwd=tree,
        check=True,
        stdout=subprocess.DEVNULL,
    )
    (tree / ".prepared").touch()
    return tree


def _report_path(tree: pathlib.Path, case: Case) -> pathlib.Path:
    return tree.parent / f"{tree.name}-reports" / f"{case.name}.json"


def _play(bench: pathlib.Path, tree: pathlib.Path, case: Case, why: str) -> None:
    """Play a case, unless its report exists already."""
    report = _report_path(tree, case)
    if report.exists():
        return
    report.parent.mkdir(parents=True, exist_ok=True)
    unfinished = report.with_suffix(".unfinished")
    command = adapter.platform_bench.play_command(
        bench, case.site, case.day, case.seed or None, unfinished, why
    )
    with report.with_suffix(".txt").open("w") as output:
        subprocess.run(
            command,
            cwd=tree,
            check=False,
            stdout=output,
            stderr=subprocess.STDOUT,
            timeout=PLAY_TIMEOUT_S,
        )
    if unfinished.exists():
        unfinished.rename(report)


def _collect_journal(tree: pathlib.Path) -> None:
    """Copy the journal entries of a variant's plays into the repository."""
    for entry in (tree / "journal").rglob("*"):
        target = ROOT / "journal" / entry.relative_to(tree / "journal")
        if entry.is_file() and not target.exists():
            shutil.copy2(entry, target)


def main(argv: list[str] | None = None) -> int:
    """Run the program; return its exit status."""
    arguments = docopt.docopt(__doc__ or "", argv)
    path = pathlib.Path(arguments["FILE"]).resolve()
    bench = pathlib.Path(arguments["--bench"]).resolve()
    work = pathlib.Path(arguments["--work"]).resolve()
    work.mkdir(parents=True, exist_ok=True)
    experiment = load(path)
    all_cases = list(cases(experiment, path.parent))
    trees = {
        variant.name: _prepare(variant, path.parent, work, bench)
        for variant in experiment.variant
    }
    if not arguments["--table"]:
        with concurrent.futures.ThreadPoolExecutor(int(arguments["--jobs"])) as pool:
            plays = [
                pool.submit(_play, bench, tree, case, f"{experiment.why} [{name}]")
                for case in all_cases
                for name, tree in trees.items()
            ]
            for play in concurrent.futures.as_completed(plays):
                play.result()
        for tree in trees.values():
            _collect_journal(tree)
    plays_by_variant = {
        name: {
            case.name: adapter.platform_bench.read_report(_report_path(tree, case))
            for case in all_cases
            if _report_path(tree, case).exists()
        }
        for name, tree in trees.items()
    }
    print(table(plays_by_variant))
    return 0


if __name__ == "__main__":
    sys.exit(main())
