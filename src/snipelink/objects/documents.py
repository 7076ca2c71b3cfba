"""Published documents: encoding of a set as documents, and verified decoding."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping

import msgspec
import result

from snipelink import model
from snipelink.generated import documents as generated

MANIFEST_KEY = "manifest"
FORMAT_VERSION = 1
# Limit of the platform for the size of a value.
MAX_DOCUMENT_BYTES = 1_000_000

_BUDGET_FIELDS = tuple(generated.Budgets.__struct_fields__)
_MANIFEST_DECODER = msgspec.json.Decoder(generated.Manifest)
_RULES_DECODER = msgspec.json.Decoder(generated.RulesDocument)
_SERVICE_DECODER = msgspec.json.Decoder(generated.ServiceDocument)


def rules_key(digest: str) -> str:
    """Return the platform key of a rules document."""
    return f"rules@{digest}"


def service_key(name: str, digest: str) -> str:
    """Return the platform key of the document of a service."""
    return f"service/{name}@{digest}"


def digest_of(document: bytes) -> str:
    """Return the SHA-256 digest of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def render(object_set: model.ObjectSet, published_at_ms: int = 0) -> dict[str, bytes]:
    """Encode a set; return its documents by platform key.

    Equal arguments give equal bytes. ``object_set.digest`` is ignored.
    """
    rules = _encode(
        generated.RulesDocument([_render_rule(rule) for rule in object_set.rules])
    )
    documents_by_key: dict[str, bytes] = {}
    digests_by_service: dict[str, str] = {}
    for name, service in sorted(object_set.services_by_name.items()):
        content = _encode(_render_service(service))
        digests_by_service[name] = digest_of(content)
        documents_by_key[service_key(name, digests_by_service[name])] = content
    manifest = generated.Manifest(
        object_set.revision, published_at_ms, digest_of(rules), digests_by_service
    )
    return {
        MANIFEST_KEY: _encode(manifest),
        rules_key(manifest.rules_digest): rules,
        **documents_by_key,
    }


def set_digest(manifest: generated.Manifest) -> str:
    """Return the digest of the set that a manifest describes.

    The digest does not cover the time of publication, so that a set that is rendered
    twice has one digest.
    """
    return digest_of(
        _encode(
            msgspec.structs.replace(manifest, published_at_ms=0, format=FORMAT_VERSION)
        )
    )


def document_keys(
    manifest: generated.Manifest, services: Collection[str] | None = None
) -> list[str]:
    """Return the keys of the documents that a manifest names, rules first.

    ``services`` restricts the service documents; ``None`` stands for all of them.
    """
    chosen = sorted(manifest.digests_by_service.items())
    return [
        rules_key(manifest.rules_digest),
        *(
            service_key(name, digest)
            for name, digest in chosen
            if services is None or name in services
        ),
    ]


def decode_manifest(content: bytes) -> result.Result[generated.Manifest, str]:
    """Decode a manifest; a format other than ``FORMAT_VERSION`` is an error."""
    if len(content) > MAX_DOCUMENT_BYTES:
        return result.Err(f"manifest: larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        manifest = _MANIFEST_DECODER.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(f"manifest: {error}")
    if manifest.format != FORMAT_VERSION:
        return result.Err(
            f"manifest: format {manifest.format}, expected {FORMAT_VERSION}"
        )
    return result.Ok(manifest)


def decode(
    manifest_bytes: bytes,
    documents_by_key: Mapping[str, bytes],
    services: Collection[str] | None = None,
) -> result.Result[model.ObjectSet, str]:
    """Decode a published set; verify the digest of every document.

    Parameters
    ----------
    manifest_bytes : bytes
        Encoded manifest, the value of the platform key ``manifest``.
    documents_by_key : mapping of str to bytes
        The other documents; keys that the manifest doesn't name are ignored.
    services : collection of str, optional
        Names of the services to decode; by default all services of the manifest. All
        rules are decoded in any case.
    """
    decoded = decode_manifest(manifest_bytes)
    if isinstance(decoded, result.Err):
        return decoded
    manifest = decoded.ok_value
    try:
        return result.Ok(_decode_set(manifest, documents_by_key, services))
    except (_InvalidDocument, msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))


class _InvalidDocument(ValueError):
    pass


def _decode_set(
    manifest: generated.Manifest,
    documents_by_key: Mapping[str, bytes],
    services: Collection[str] | None,
) -> model.ObjectSet:
    names = manifest.digests_by_service if services is None else services
    for name in names:
        if name not in manifest.digests_by_service:
            raise _InvalidDocument(f"manifest: no service {name!r}")
    rules = _decode_rules(manifest, documents_by_key)
    services_by_name = {
        name: _decode_service(name, digest, documents_by_key)
        for name, digest in manifest.digests_by_service.items()
        if name in names
    }
    _check_endpoint_names(services_by_name)
    return model.ObjectSet(
        manifest.revision,
        set_digest(manifest),
        rules,
        services_by_name,
        manifest.published_at_ms / 1000,
    )


def _find_document(
    key: str, digest: str, documents_by_key: Mapping[str, bytes]
) -> bytes:
    content = documents_by_key.get(key)
    if content is None:
        raise _InvalidDocument(f"{key}: missing")
    if len(content) > MAX_DOCUMENT_BYTES:
        raise _InvalidDocument(f"{key}: larger than {MAX_DOCUMENT_BYTES} bytes")
    if digest_of(content) != digest:
        raise _InvalidDocument(f"{key}: content does not match the digest")
    return content


def _decode_rules(
    manifest: generated.Manifest, documents_by_key: Mapping[str, bytes]
) -> tuple[model.Rule, ...]:
    key = rules_key(manifest.rules_digest)
    content = _find_document(key, manifest.rules_digest, documents_by_key)
    rules = _RULES_DECODER.decode(content).rules
    for rule in rules:
        if rule.service not in manifest.digests_by_service:
            raise _InvalidDocument(
                f"{key}: rule {rule.name!r} names an unknown service {rule.service!r}"
            )
    return tuple(
        model.Rule(
            rule.name,
            rule.service,
            rule.caller or "",
            rule.host or "",
            rule.path_prefix,
            rule.endpoint_set or "",
        )
        for rule in rules
    )


def _decode_service(
    name: str, digest: str, documents_by_key: Mapping[str, bytes]
) -> model.Service:
    key = service_key(name, digest)
    document = _SERVICE_DECODER.decode(_find_document(key, digest, documents_by_key))
    if document.name != name:
        raise _InvalidDocument(
            f"{key}: found the document of service {document.name!r}"
        )
    endpoints_by_name = {
        endpoint.name: _decode_endpoint(name, endpoint)
        for endpoint in document.endpoints
    }
    if len(endpoints_by_name) != len(document.endpoints):
        raise _InvalidDocument(f"{key}: two endpoints with one name")
    operations = tuple(
        model.Operation(**msgspec.structs.asdict(operation))
        for operation in document.operations
    )
    if len({operation.name for operation in operations}) != len(operations):
        raise _InvalidDocument(f"{key}: two operations with one name")
    budgets = model.Budgets(
        **{field: float(getattr(document.budgets, field)) for field in _BUDGET_FIELDS}
    )
    return model.Service(name, operations, endpoints_by_name, budgets)


def _decode_endpoint(service: str, endpoint: generated.Endpoint) -> model.Endpoint:
    return model.Endpoint(
        name=endpoint.name,
        service=service,
        failure_domain=endpoint.failure_domain,
        region=endpoint.region,
        address=endpoint.address,
        call_address=endpoint.call_address or "",
        control_address=endpoint.control_address or "",
        endpoint_sets=frozenset(endpoint.endpoint_sets),
        leaving=endpoint.state == "leaving",
        slots=endpoint.slots,
        connections=endpoint.connections,
    )


def _check_endpoint_names(services_by_name: Mapping[str, model.Service]) -> None:
    services_by_endpoint: dict[str, str] = {}
    for service in services_by_name.values():
        for name in service.endpoints_by_name:
            other = services_by_endpoint.setdefault(name, service.name)
            if other != service.name:
                raise _InvalidDocument(
                    f"endpoint {name!r} is in services {other!r} and {service.name!r}"
                )


def _render_rule(rule: model.Rule) -> generated.Rule:
    return generated.Rule(
        rule.name,
        rule.service,
        rule.caller or None,
        rule.host or None,
        rule.path_prefix,
        rule.endpoint_set or None,
    )


def _render_service(service: model.Service) -> generated.ServiceDocument:
    return generated.ServiceDocument(
        service.name,
        [
            generated.Operation(
                **{
                    field: getattr(operation, field)
                    for field in generated.Operation.__struct_fields__
                }
            )
            for operation in service.operations
        ],
        [
            _render_endpoint(endpoint)
            for _, endpoint in sorted(service.endpoints_by_name.items())
        ],
        generated.Budgets(
            **{
                field: float(getattr(service.budgets, field))
                for field in _BUDGET_FIELDS
            }
        ),
    )


def _render_endpoint(endpoint: model.Endpoint) -> generated.Endpoint:
    return generated.Endpoint(
        name=endpoint.name,
        failure_domain=endpoint.failure_domain,
        region=endpoint.region,
        address=endpoint.address,
        call_address=endpoint.call_address or None,
        control_address=endpoint.control_address or None,
        endpoint_sets=sorted(endpoint.endpoint_sets),
        state="leaving" if endpoint.leaving else "active",
        slots=endpoint.slots,
        connections=endpoint.connections,
    )


def _encode(document: msgspec.Struct) -> bytes:
    return msgspec.json.encode(document, order="sorted")
