from __future__ import annotations

import pathlib
from collections.abc import Callable

import pytest

from snipelink import jsonc
from snipelink.objects import changes, document_writer, documents, loader
from tests.objects import files


def _check_change(
    directory: pathlib.Path,
    change: Callable[[files.Files], object],
    before: Callable[[files.Files], object] = lambda f: None,
    revision: int = 8,
) -> list[jsonc.Problem]:
    old, new = files.copy_files(), files.copy_files()
    before(old)
    before(new)
    new["set.json"]["revision"] = revision
    change(new)
    return changes.check_change(
        loader.load(files.write(directory / "old", old)),
        loader.load(files.write(directory / "new", new)),
    )


def _archive(f: files.Files) -> dict:
    return f["endpoints/archive.json"]["endpoints"][0]


def _remove_archive_rule(f: files.Files) -> None:
    del f["rules.json"]["rules"][2]


def _remove_archive(f: files.Files) -> None:
    del f["services.json"]["services"][1], f["endpoints/archive.json"]


@pytest.mark.parametrize("revision", [1, 6, 7])
def test_changed_set_needs_a_higher_revision(
    tmp_path: pathlib.Path, revision: int
) -> None:
    """Guards against publishing a set that nodes refuse because of its revision."""
    (problem,) = _check_change(
        tmp_path, lambda f: _archive(f).update(slots=3), revision=revision
    )
    assert (problem.field, problem.warning) == ("revision", False)


def test_unchanged_set_may_keep_its_revision(tmp_path: pathlib.Path) -> None:
    """Guards against a CI run that fails though the objects did not change."""
    assert _check_change(tmp_path, lambda f: None, revision=7) == []


def test_removing_an_active_endpoint_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a publication that cuts off calls in flight."""
    (problem,) = _check_change(
        tmp_path, lambda f: f["endpoints/rota.json"]["endpoints"].pop(0)
    )
    assert (problem.object, problem.field) == ("endpoint rota-1", "state")


def test_removing_a_leaving_endpoint_is_accepted(tmp_path: pathlib.Path) -> None:
    """Guards against an endpoint that can never be removed."""
    assert not _check_change(
        tmp_path, lambda f: f["endpoints/rota.json"]["endpoints"].pop(2)
    )


def test_last_active_endpoint_may_leave_only_after_its_rules_are_removed(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against retiring a service to which rules still route calls."""

    def leave(f: files.Files) -> None:
        _archive(f)["state"] = "leaving"

    def leave_with_rule(f: files.Files) -> None:
        leave(f)
        _remove_archive_rule(f)

    for number, change in enumerate((leave, leave_with_rule)):
        (problem,) = _check_change(tmp_path / str(number), change)
        assert problem.object == "service archive"
    assert _check_change(tmp_path / "allowed", leave, before=_remove_archive_rule) == []


def test_retired_service_can_be_removed(tmp_path: pathlib.Path) -> None:
    """Guards against a retired service whose removal is refused."""

    def retired(f: files.Files) -> None:
        _remove_archive_rule(f)
        _archive(f)["state"] = "leaving"

    assert _check_change(tmp_path, _remove_archive, before=retired) == []


def test_endpoint_name_of_another_service_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against applying what nodes know of one server to another one."""
    (problem,) = _check_change(
        tmp_path,
        lambda f: f["endpoints/rota.json"]["endpoints"][1].update(service="archive"),
    )
    assert (problem.object, problem.field) == ("endpoint rota-2", "service")


@pytest.mark.parametrize("name", ["find", "renamed"])
def test_changed_idempotency_is_a_warning(tmp_path: pathlib.Path, name: str) -> None:
    """Guards against an operation that is made repeatable by mistake."""
    (problem,) = _check_change(
        tmp_path,
        lambda f: f["services.json"]["services"][0]["operations"][0].update(
            name=name, idempotent=False
        ),
    )
    assert (problem.field, problem.warning) == ("operations[0].idempotent", True)


def test_published_manifest_is_replaced_only_by_a_later_one(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against two sets under one revision, which all nodes refuse."""

    def render(revision: int, slots: int = 3, published_at_ms: int = 0) -> dict:
        content = files.copy_files()
        content["set.json"]["revision"] = revision
        _archive(content)["slots"] = slots
        objects = loader.load(files.write(tmp_path / "objects", content))
        return documents.render(loader.to_set(objects), published_at_ms)

    out = tmp_path / "out"
    assert document_writer.write(render(7), out).is_ok()
    assert document_writer.write(render(7, published_at_ms=5), out).is_ok()
    assert "revision 7" in document_writer.write(render(7, slots=4), out).unwrap_err()
    assert "revision 7" in document_writer.write(render(6), out).unwrap_err()
    assert "later time" in document_writer.write(render(8, slots=4), out).unwrap_err()
    assert document_writer.write(render(8, slots=4, published_at_ms=5), out).is_ok()
    published = {
        path.relative_to(out).as_posix(): path.read_bytes()
        for path in out.rglob("*")
        if path.is_file()
    }
    assert documents.decode(published["manifest"], published).unwrap().revision == 8
