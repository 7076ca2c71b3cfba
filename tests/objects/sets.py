"""Hypothesis strategies for object sets."""

from __future__ import annotations

import hypothesis.strategies as st

from snipelink import model

NAMES = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)


@st.composite
def object_sets(draw: st.DrawFn) -> model.ObjectSet:
    names = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    services = {name: draw(_services(name)) for name in names}
    rules = draw(
        st.lists(
            st.builds(
                model.Rule,
                name=NAMES,
                service=st.sampled_from(names),
                caller=st.just("") | NAMES,
                host=st.just("") | NAMES,
                path_prefix=st.sampled_from(["/", "/a", "/a/b"]),
                endpoint_set=st.just("") | NAMES,
            ),
            max_size=4,
        )
    )
    revision = draw(st.integers(1, 2**53))
    return model.ObjectSet(revision, "", tuple(rules), services)


def _services(name: str) -> st.SearchStrategy[model.Service]:
    operation = st.builds(
        model.Operation,
        name=NAMES,
        method=st.sampled_from(["GET", "POST"]),
        path=st.sampled_from(["/", "/a/{id}", "/b/*"]),
        idempotent=st.booleans(),
        priority=st.sampled_from(["high", "normal", "low"]),
        weight=st.integers(1, 100),
        deadline_ms=st.integers(1, 600_000),
    )
    endpoint = st.builds(
        model.Endpoint,
        name=NAMES.map(lambda text: f"{name}.{text}"),
        service=st.just(name),
        failure_domain=NAMES,
        region=st.text(max_size=5),
        address=st.just("127.0.0.1:9000"),
        call_address=st.sampled_from(["", "127.0.0.1:9001"]),
        endpoint_sets=st.frozensets(NAMES, max_size=3),
        leaving=st.booleans(),
        slots=st.integers(1, 10_000),
    )
    return st.builds(
        model.Service,
        name=st.just(name),
        operations=st.lists(operation, max_size=4, unique_by=lambda o: o.name).map(
            tuple
        ),
        endpoints_by_name=st.lists(
            endpoint, max_size=4, unique_by=lambda e: e.name
        ).map(lambda items: {item.name: item for item in items}),
        budgets=st.builds(model.Budgets, retry_ratio=st.floats(0, 0.5)),
    )
