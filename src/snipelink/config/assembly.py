"""Collection of the documents of one manifest from any number of sources."""

from __future__ import annotations

import msgspec
import result

from snipelink import model
from snipelink.config import service_selection
from snipelink.generated import documents as generated
from snipelink.objects import documents

_RULES_DECODER = msgspec.json.Decoder(generated.RulesDocument)


class Assembly:
    """Documents of one manifest, as far as they have been read.

    Parameters
    ----------
    content : bytes
        Value of the key ``manifest``.
    manifest : Manifest
        The decoded value.
    own_service : str
        Service of the node's endpoint.
    known_by_key : dict of str to bytes
        Documents of earlier sets; those with an unchanged digest are reused.
    """

    def __init__(
        self,
        content: bytes,
        manifest: generated.Manifest,
        own_service: str,
        known_by_key: dict[str, bytes],
    ) -> None:
        self.content = content
        self.manifest = manifest
        self.set_digest = documents.set_digest(manifest)
        self.documents_by_key: dict[str, bytes] = {}
        self._own_service = own_service
        self._known_by_key = known_by_key
        self._services: frozenset[str] | None = None
        self._needed: frozenset[str] = frozenset([self.rules_key])
        self._add_known()

    @property
    def revision(self) -> int:
        """Return the revision of the manifest."""
        return self.manifest.revision

    @property
    def services(self) -> frozenset[str]:
        """Return the services whose documents are needed, once the rules are known."""
        return self._services or frozenset()

    @property
    def rules_key(self) -> str:
        """Return the key of the rules document."""
        return documents.rules_key(self.manifest.rules_digest)

    def service_key(self, name: str) -> str:
        """Return the key of a service's document."""
        return documents.service_key(name, self.manifest.digests_by_service[name])

    def missing(self) -> list[str]:
        """Return the keys to read next; empty when the set is complete."""
        return sorted(self._needed - self.documents_by_key.keys())

    def add(self, key: str, content: bytes) -> result.Result[None, str]:
        """Add a document that is named by the manifest and has its digest."""
        if documents.digest_of(content) != key.rpartition("@")[2]:
            return result.Err(f"{key}: content has another digest")
        if key not in self._needed or key in self.documents_by_key:
            return result.Ok(None)
        if key == self.rules_key:
            error = self._select(content)
            if error:
                return result.Err(f"{key}: {error}")
        self.documents_by_key[key] = content
        return result.Ok(None)

    def _add_known(self) -> None:
        """Add every known document that the manifest names unchanged.

        Their digests were verified when they were first accepted.
        """
        known = self._known_by_key
        if self.rules_key in known and not self._select(known[self.rules_key]):
            self.documents_by_key[self.rules_key] = known[self.rules_key]
        for key in self._needed & known.keys():
            self.documents_by_key[key] = known[key]

    def _select(self, rules: bytes) -> str:
        try:
            decoded = _RULES_DECODER.decode(rules).rules
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return str(error)
        self._services = service_selection.services_used(
            [model.Rule(r.name, r.service, r.caller or "") for r in decoded],
            self.manifest.digests_by_service.keys(),
            self._own_service,
        )
        self._needed = frozenset(documents.keys(self.manifest, self._services))
        return ""


def start(
    content: bytes, own_service: str, known_by_key: dict[str, bytes]
) -> result.Result[Assembly, str]:
    """Decode a manifest and start to collect its documents."""
    decoded = documents.decode_manifest(content)
    if isinstance(decoded, result.Err):
        return decoded
    return result.Ok(Assembly(content, decoded.ok_value, own_service, known_by_key))
