"""Checks a directory of objects and writes the documents to publish.

Usage:
  snipelink-check DIR [--against OLD] [--out OUT] [--published-at MS]
  snipelink-check (-h | --help)

Options:
  --against OLD      Also check the change from the directory OLD to DIR.
  --out OUT          Write the documents to the directory OUT if there is no error.
  --published-at MS  Time of publication in the manifest, Unix milliseconds; the
                     present time by default.
  -h --help          Show this text.

Exit codes: 0 without errors, 1 with errors, 2 for invalid usage.
"""

from __future__ import annotations

import pathlib
import sys
import time

import docopt
import result

from snipelink import jsonc
from snipelink.objects import changes, checks, document_writer, documents, loader


def main(argv: list[str]) -> int:
    """Run the program with the given arguments and return its exit code."""
    try:
        arguments = docopt.docopt(__doc__, argv)
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    usage_error = _find_usage_error(arguments)
    if usage_error:
        print(usage_error, file=sys.stderr)
        return 2
    objects = loader.load(pathlib.Path(arguments["DIR"]))
    problems = checks.check(objects)
    if arguments["--against"]:
        problems += _check_change(arguments["--against"], objects)
    failed = _report(problems)
    if not failed and arguments["--out"]:
        rendered = documents.render(
            loader.to_set(objects), _published_at_ms(arguments["--published-at"])
        )
        written = document_writer.write(rendered, pathlib.Path(arguments["--out"]))
        if isinstance(written, result.Err):
            print(written.err_value, file=sys.stderr)
            return 1
    return 1 if failed else 0


def run() -> None:
    """Run the program with the arguments of the process."""
    sys.exit(main(sys.argv[1:]))


def _find_usage_error(arguments: dict[str, str | None]) -> str:
    for name in ("DIR", "--against"):
        value = arguments[name]
        if value is not None and not pathlib.Path(value).is_dir():
            return f"{name}: expected a directory; found {value!r}"
    published_at = arguments["--published-at"]
    if published_at is None:
        return ""
    if not (published_at.isascii() and published_at.isdecimal()):
        return f"--published-at: expected an integer; found {published_at!r}"
    return ""


def _published_at_ms(option: str | None) -> int:
    # The handover of idempotency keys between owners is scheduled relative to this
    # time. With a default in the past, keys would have no owner for a moment.
    return int(time.time() * 1000) if option is None else int(option)


def _check_change(old_name: str, objects: loader.Objects) -> list[jsonc.Problem]:
    old = loader.load(pathlib.Path(old_name))
    return [*old.problems, *changes.check_change(old, objects)]


def _report(problems: list[jsonc.Problem]) -> bool:
    for problem in problems:
        print(problem)
    warnings = sum(problem.warning for problem in problems)
    errors = len(problems) - warnings
    print(f"{errors} errors, {warnings} warnings", file=sys.stderr)
    return checks.has_errors(problems)


if __name__ == "__main__":
    run()
