from __future__ import annotations

import pathlib

import platform_bench


def test_report_is_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "report.json"
    path.write_text(
        '{"G": 0.5, "served": 0.9, "fault": null, "breaks": {"DRAIN": 2},'
        ' "prices": [["probes", 10.0, 0.01], ["duties", 0.0, null]],'
        ' "windows": [{"name": "4", "n": 5, "in_aim": 3, "late": 1, "refused": 1,'
        ' "failed": 0, "worth": 0.6}]}'
    )
    play = platform_bench.read_report(path)
    assert (play.worth, play.fault) == (0.5, "")
    assert play.broken_rules == {"DRAIN": 2}
    assert play.prices == {"probes": 0.01, "duties": 0.0}
    assert play.windows == [platform_bench.Window(4.0, 5, 3, 1, 1, 0, 0.6)]


def test_log_is_read_without_the_lines_of_the_bench(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "log.txt"
    path.write_text(
        'built in 7.9 s\n  -9.5 node-a {"message":"node has started"}\n'
        "day worth\n0.5 node-b {not json}\n"
    )
    read = list(platform_bench.read_log(path))
    assert read == [(-9.5, {"message": "node has started"})]
