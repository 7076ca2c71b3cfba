"""Collects the documents that a manifest names, from any number of sources."""

from __future__ import annotations

import msgspec
import result

from snipelink import model
from snipelink.config import service_selection
from snipelink.generated import documents as generated
from snipelink.objects import documents

_RULES_DECODER = msgspec.json.Decoder(generated.RulesDocument)


class Assembly:
    """Documents of a manifest that have been collected so far.

    A document is accepted only with the digest that the manifest states.

    Parameters
    ----------
    manifest_bytes : bytes
        Encoded manifest, the value of the platform key ``manifest``.
    manifest : Manifest
        The decoded manifest.
    own_service : str
        Service of the endpoint beside this node.
    reusable_by_key : dict of str to bytes
        Verified documents of earlier sets. A key contains the digest of its document,
        so documents with an unchanged key are reused.
    """

    def __init__(
        self,
        manifest_bytes: bytes,
        manifest: generated.Manifest,
        own_service: str,
        reusable_by_key: dict[str, bytes],
    ) -> None:
        self.manifest_bytes = manifest_bytes
        self.manifest = manifest
        self.set_digest = documents.set_digest(manifest)
        self.documents_by_key: dict[str, bytes] = {}
        self._own_service = own_service
        self._reusable_by_key = reusable_by_key
        self._services: frozenset[str] | None = None
        self._needed: frozenset[str] = frozenset([self.rules_key])
        self._reuse_documents()

    @property
    def revision(self) -> int:
        """Return the revision of the manifest."""
        return self.manifest.revision

    @property
    def services(self) -> frozenset[str]:
        """Return the services that this node needs; empty until the rules are known."""
        return self._services or frozenset()

    @property
    def rules_key(self) -> str:
        """Return the key of the rules document."""
        return documents.rules_key(self.manifest.rules_digest)

    def service_key(self, name: str) -> str:
        """Return the key of a service's document."""
        return documents.service_key(name, self.manifest.digests_by_service[name])

    def missing(self) -> list[str]:
        """Return the keys to read next, sorted; empty when the set is complete.

        Until the rules document is added, only its key is returned, because the rules
        decide which services are needed.
        """
        return sorted(self._needed - self.documents_by_key.keys())

    def add(self, key: str, content: bytes) -> result.Result[None, str]:
        """Add a document if its content has the digest in its key.

        Documents that are not needed or already present are ignored.
        """
        if documents.digest_of(content) != key.rpartition("@")[2]:
            return result.Err(f"{key}: content does not match the digest")
        if key not in self._needed or key in self.documents_by_key:
            return result.Ok(None)
        if key == self.rules_key:
            error = self._load_rules(content)
            if error:
                return result.Err(f"{key}: {error}")
        self.documents_by_key[key] = content
        return result.Ok(None)

    def _reuse_documents(self) -> None:
        """Add the documents of earlier sets that this manifest still names.

        Their digests were verified when they were first accepted.
        """
        known = self._reusable_by_key
        if self.rules_key in known and not self._load_rules(known[self.rules_key]):
            self.documents_by_key[self.rules_key] = known[self.rules_key]
        for key in self._needed & known.keys():
            self.documents_by_key[key] = known[key]

    def _load_rules(self, rules: bytes) -> str:
        """Derive the needed documents from the rules; return the error text, if any."""
        try:
            decoded = _RULES_DECODER.decode(rules).rules
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return str(error)
        self._services = service_selection.needed_services(
            [model.Rule(r.name, r.service, r.caller or "") for r in decoded],
            self.manifest.digests_by_service.keys(),
            self._own_service,
        )
        self._needed = frozenset(documents.document_keys(self.manifest, self._services))
        return ""


def start(
    manifest_bytes: bytes, own_service: str, reusable_by_key: dict[str, bytes]
) -> result.Result[Assembly, str]:
    """Decode a manifest and start the collection of its documents."""
    decoded = documents.decode_manifest(manifest_bytes)
    if isinstance(decoded, result.Err):
        return decoded
    return result.Ok(
        Assembly(manifest_bytes, decoded.ok_value, own_service, reusable_by_key)
    )
