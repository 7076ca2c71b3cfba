"""Runs all checks of the project and prints the total of passed and failed ones."""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
CHECKS_BY_NAME = {
    "format": ["-m", "ruff", "format", "--check", "."],
    "lint": ["-m", "ruff", "check", "."],
    "types": ["-m", "mypy"],
    "generated": ["tools/generate.py", "--check"],
}


def _run_python(arguments: list[str]) -> int:
    print("$ python", " ".join(arguments), flush=True)
    return subprocess.run(
        [sys.executable, *arguments], cwd=ROOT, check=False
    ).returncode


def _count_cases(reports: list[pathlib.Path]) -> tuple[int, int]:
    """Return the numbers of passed and failed test cases in JUnit reports."""
    passed = failed = 0
    for report in reports:
        for case in xml.etree.ElementTree.parse(report).getroot().iter("testcase"):
            if case.find("failure") is not None or case.find("error") is not None:
                failed += 1
            elif case.find("skipped") is None:
                passed += 1
    return passed, failed


def _run_pytest(
    directory: pathlib.Path, pytest_arguments: list[str]
) -> tuple[int, int]:
    report = directory / "pytest.xml"
    exit_code = _run_python(["-m", "pytest", f"--junitxml={report}", *pytest_arguments])
    passed, failed = _count_cases([report]) if report.exists() else (0, 0)
    return passed, max(failed, 1 if exit_code != 0 else 0)


def _run_behave(directory: pathlib.Path) -> tuple[int, int]:
    features = ROOT / "tests" / "features"
    if not features.exists():
        return 0, 0
    options = ["--no-capture", "--format", "progress", "--junit", "--junit-directory"]
    exit_code = _run_python(["-m", "behave", *options, str(directory), str(features)])
    passed, failed = _count_cases(sorted(directory.glob("TESTS-*.xml")))
    return passed, max(failed, 1 if exit_code != 0 else 0)


def _print_known_failures() -> None:
    path = ROOT / "KNOWN-RED.txt"
    if path.exists() and re.search(r"^[^#\s]", path.read_text(), re.MULTILINE):
        print("Known failures that CI passes over (KNOWN-RED.txt):")
        print(path.read_text())


def main() -> int:
    """Run all checks; return 0 if all of them passed, otherwise 1."""
    passed = failed = 0
    for name, arguments in CHECKS_BY_NAME.items():
        ok = _run_python(arguments) == 0
        print(f"{name}: {'ok' if ok else 'FAILED'}", flush=True)
        passed, failed = passed + ok, failed + (not ok)
    with tempfile.TemporaryDirectory() as name:
        for result in (
            _run_pytest(pathlib.Path(name), sys.argv[1:]),
            _run_behave(pathlib.Path(name)),
        ):
            passed, failed = passed + result[0], failed + result[1]
    _print_known_failures()
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
