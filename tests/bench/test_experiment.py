from __future__ import annotations

import pathlib
import subprocess

import msgspec
import pytest

from bench import adapter, experiment

platform_bench = adapter.platform_bench

EXPERIMENT = """
why = "test"

[[variant]]
name = "before"

[[variant]]
name = "longer"
constants = { "decide/hedging.py:MIN_GAIN_S" = "9.0" }

[[site]]
file = "sites/small.toml"
days = ["trouble-1", "own.toml"]
seeds = [0, 11]
"""


def _play(worth: float, fault: str = "") -> platform_bench.Play:
    return platform_bench.Play(worth, 1.0, fault, {}, {}, [])


def _load(tmp_path: pathlib.Path, text: str) -> experiment.Experiment:
    path = tmp_path / "experiment.toml"
    path.write_text(text)
    return experiment.load(path)


def test_every_day_is_played_with_every_seed(tmp_path: pathlib.Path) -> None:
    found = list(experiment.cases(_load(tmp_path, EXPERIMENT), tmp_path))
    assert [case.name for case in found] == [
        "small-trouble-1",
        "small-trouble-1-11",
        "small-own",
        "small-own-11",
    ]
    assert found[2].day == str(tmp_path / "own.toml")
    assert found[0].site == tmp_path / "sites" / "small.toml"


@pytest.mark.parametrize(
    ("old", "new"),
    [("why =", "reason ="), ("seeds = [0, 11]", 'seeds = "all"'), ("name =", "nom =")],
)
def test_invalid_experiment_is_rejected(
    tmp_path: pathlib.Path, old: str, new: str
) -> None:
    with pytest.raises(msgspec.ValidationError):
        _load(tmp_path, EXPERIMENT.replace(old, new))


def test_constant_is_replaced_once() -> None:
    source = "A_S = 1.0\nB: int = 2\nLONG_A_S = A_S\n"
    assert experiment.replace_constant(source, "A_S", "9.0").startswith("A_S = 9.0\n")
    assert "B = 3\n" in experiment.replace_constant(source, "B", "3")


@pytest.mark.parametrize("source", ["", "A = 1\nA = 2\n"])
def test_unknown_or_ambiguous_constant_is_an_error(source: str) -> None:
    with pytest.raises(experiment.ConstantError):
        experiment.replace_constant(source, "A", "3")


def test_table_has_differences_their_mean_and_its_standard_error() -> None:
    plays = {
        "before": {"a": _play(0.5), "b": _play(0.6), "c": _play(0.7)},
        "after": {"a": _play(0.52), "b": _play(0.66, "does not start")},
    }
    lines = experiment.table(plays).splitlines()
    assert lines[1].split() == ["a", "0.500", "+0.020"]
    assert lines[2].split() == ["b", "0.600", "+0.060!"]
    assert lines[3].split() == ["c", "0.700", "-"]
    assert lines[4].split() == ["mean", "0.600", "+0.040", "±0.020"]


BENCH_SCRIPT = """#!/bin/sh
[ "$1" = build ] && exit 0
while [ $# -gt 1 ]; do [ "$1" = --report ] && report=$2; shift; done
case $report in *-11.*) exit 1;; esac
grep -q "MIN_GAIN_S = 9.0" src/snipelink/decide/hedging.py && worth=0.25 || worth=0.5
cat > "$report" <<END
{"G": $worth, "served": 1, "fault": null, "breaks": {"DRAIN": 2}, "prices": [],
 "windows": [{"name": "4", "n": 5, "in_aim": 3, "late": 1, "refused": 1, "failed": 0,
 "worth": 0.6}]}
END
mkdir -p journal; echo played >> "journal/$(basename "$report").entry"
"""


def test_interrupted_experiment_goes_on_where_it_stopped(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    root = tmp_path / "root"
    module = root / "src" / "snipelink" / "decide" / "hedging.py"
    module.parent.mkdir(parents=True)
    module.write_text("MIN_GAIN_S = 0.05\n")
    (root / "journal").mkdir()
    for command in (
        ["git", "init", "-q"],
        ["git", "add", "-A"],
        ["git", "-c", "user.name=t", "-c", "user.email=t@t", "commit", "-qm", "t"],
    ):
        subprocess.run(command, cwd=root, check=True)
    monkeypatch.setattr(experiment, "ROOT", root)
    bench = tmp_path / "bench.sh"
    bench.write_text(BENCH_SCRIPT)
    bench.chmod(0o755)
    path = tmp_path / "experiment.toml"
    path.write_text(EXPERIMENT)
    work = tmp_path / "work"
    arguments = [str(path), "--bench", str(bench), "--work", str(work)]

    first = experiment.main(arguments)
    assert first == 0
    reports = {path.name: path for path in work.rglob("*.json")}
    # The plays with the other seed failed and are played again.
    assert sorted(reports) == ["small-own.json", "small-trouble-1.json"]
    assert (root / "journal" / "small-own.unfinished.entry").read_text() == "played\n"

    bench.write_text(BENCH_SCRIPT.replace("*-11.*) exit 1", "*none*) exit 1"))
    experiment.main(arguments)
    assert len(list(work.rglob("*.json"))) == 8
    for entry in work.rglob("*.entry"):
        assert entry.read_text() == "played\n"
