from __future__ import annotations

import dataclasses
import random

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from snipelink import model
from snipelink.objects import documents
from tests.objects import sets


def _set() -> model.ObjectSet:
    endpoint = model.Endpoint("rota-1", "rota", "a", "r", "127.0.0.1:9000")
    operation = model.Operation("find", "GET", "/shifts/{id}", idempotent=True)
    services = {
        "rota": model.Service("rota", (operation,), {"rota-1": endpoint}),
        "archive": model.Service("archive", (), {}),
    }
    return model.ObjectSet(7, "", (model.Rule("all", "rota"),), services)


@hypothesis.given(sets.object_sets())
def test_decode_returns_the_rendered_set(object_set: model.ObjectSet) -> None:
    """Guards against a field that is lost or changed between publisher and node."""
    rendered = documents.render(object_set)
    decoded = documents.decode(rendered["manifest"], rendered).unwrap()
    assert dataclasses.replace(decoded, digest="") == object_set
    assert documents.render(decoded) == rendered


@hypothesis.given(sets.object_sets(), st.randoms(use_true_random=False))
def test_rendering_does_not_depend_on_the_order_of_services(
    object_set: model.ObjectSet, rng: random.Random
) -> None:
    """Guards against two digests, and so a conflict, for one and the same set."""
    items = list(object_set.services_by_name.items())
    rng.shuffle(items)
    shuffled = dataclasses.replace(object_set, services_by_name=dict(items))
    assert documents.render(shuffled) == documents.render(object_set)


def test_publication_time_does_not_change_the_set_digest() -> None:
    """Guards against refusing a set that is published twice as a conflict."""
    first, second = documents.render(_set(), 1), documents.render(_set(), 2)
    digests = {
        documents.decode(rendered["manifest"], rendered).unwrap().digest
        for rendered in (first, second)
    }
    assert first["manifest"] != second["manifest"]
    assert len(digests) == 1


@pytest.mark.parametrize("prefix", ["rules@", "service/rota@", "service/archive@"])
@pytest.mark.parametrize("change", ["missing", "other", "truncated"])
def test_document_that_differs_from_the_manifest_is_refused(
    prefix: str, change: str
) -> None:
    """Guards against decoding a mixture of two revisions."""
    rendered = documents.render(_set())
    key = next(key for key in rendered if key.startswith(prefix))
    content = rendered.pop(key)
    if change == "other":
        rendered[key] = content + b" "
    elif change == "truncated":
        rendered[key] = content[:-1]
    assert prefix in documents.decode(rendered["manifest"], rendered).unwrap_err()


def test_other_services_are_not_needed_to_decode_the_chosen_ones() -> None:
    """Guards against a node that must read documents of services it does not use."""
    rendered = documents.render(_set())
    manifest = documents.decode_manifest(rendered["manifest"]).unwrap()
    keys = documents.document_keys(manifest, ["rota"])
    chosen = {key: rendered[key] for key in keys}
    decoded = documents.decode(rendered["manifest"], chosen, ["rota"]).unwrap()
    assert list(decoded.services_by_name) == ["rota"]
    assert "nosuch" in (
        documents.decode(rendered["manifest"], rendered, ["nosuch"]).unwrap_err()
    )


def _published(document: dict[str, object], revision: int = 1) -> dict[str, bytes]:
    rules = msgspec.json.encode({"rules": document.pop("rules", [])})
    content = msgspec.json.encode(document)
    manifest = {
        "revision": revision,
        "published_at_ms": 0,
        "rules_digest": documents.digest_of(rules),
        "digests_by_service": {"rota": documents.digest_of(content)},
    }
    return {
        "manifest": msgspec.json.encode(manifest),
        documents.rules_key(documents.digest_of(rules)): rules,
        documents.service_key("rota", documents.digest_of(content)): content,
    }


ENDPOINT = {
    "name": "rota-1",
    "failure_domain": "a",
    "region": "r",
    "address": "127.0.0.1:9000",
}
SERVICE = {"name": "rota", "operations": [], "endpoints": [], "budgets": {}}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"name": "archive"}, "archive"),
        ({"endpoints": [ENDPOINT, ENDPOINT]}, "one name"),
        ({"endpoints": [ENDPOINT | {"slots": 0}]}, "slots"),
        ({"budgets": {"retry_ratio": 2}}, "retry_ratio"),
        ({"rules": [{"name": "r", "service": "nosuch"}]}, "nosuch"),
    ],
)
def test_inconsistent_document_is_refused(
    change: dict[str, object], expected: str
) -> None:
    """Guards against a node that accepts any document whose digest matches."""
    rendered = _published(SERVICE | change)
    assert expected in documents.decode(rendered["manifest"], rendered).unwrap_err()


def test_document_with_an_unknown_field_is_accepted() -> None:
    """Guards against a newer publisher whose documents an older node refuses."""
    rendered = _published(SERVICE | {"endpoints": [ENDPOINT | {"added_later": 1}]})
    assert documents.decode(rendered["manifest"], rendered).is_ok()


@pytest.mark.parametrize(
    "manifest", [b"", b"{", b"\xff", b"[]", b"null", b'{"revision": 0}']
)
def test_broken_manifest_is_refused(manifest: bytes) -> None:
    """Guards against an exception in the thread that reads the platform."""
    assert documents.decode(manifest, {}).is_err()


def test_manifest_of_a_later_format_is_refused() -> None:
    """Guards against decoding documents whose fields have changed their meaning."""
    rendered = documents.render(_set())
    content = rendered["manifest"].replace(b'"format":1', b'"format":2')
    assert "format 2" in documents.decode(content, rendered).unwrap_err()
