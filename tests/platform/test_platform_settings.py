from __future__ import annotations

import pathlib
import platform

import platform_settings
import pytest

from snipelink.mesh import settings

TEXT = """
[self]
node_name = "n-1"
role = "node"
ip = "10.1.0.38"
zone = "ar-central-a"
app_addr = "10.1.0.38:8145"
service = "huvo11a"
[network]
port_range = [7380, 7395]
seeds = []
[network.listen]
inbound = "10.1.0.38:8146"
outbound = "10.1.0.38:8147"
ready = "10.1.0.38:8141"
[platform.platform]
address = "10.200.1.7:8142"
[terms.bounds]
drain_s = 2
grace_s = 6
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
probes_per_s = 60
some_new_field = true
"""


def test_adapter_directory_does_not_hide_the_standard_module() -> None:
    """Guards against an ``__init__.py`` that makes the directory a package."""
    assert platform.python_version()
    assert not (
        pathlib.Path(platform_settings.__file__).parent / "__init__.py"
    ).exists()


def test_settings_file_is_converted_into_node_settings() -> None:
    loaded = platform_settings.decode(TEXT).unwrap()
    node = loaded.node_settings
    assert (node.node, node.service) == ("n-1", "huvo11a")
    assert node.failure_domain == "ar-central-a"
    assert node.endpoint_address == ("10.1.0.38", 8145)
    assert node.caller_listen == ("10.1.0.38", 8147)
    assert node.ready_listen == ("10.1.0.38", 8141)
    assert node.peer_listen == ("10.1.0.38", 7380)
    assert node.bounds.retry_allowance == 58
    assert (node.bounds.cold_over, node.bounds.cold_slack) == (0.0, 0.0)
    assert loaded.store_address == ("10.200.1.7", 8142)


def test_limit_for_cold_servers_is_read_if_present() -> None:
    more = "cold_over = 1.5\ncold_slack = 8\nsome_new_field"
    text = TEXT.replace("some_new_field", more)
    bounds = platform_settings.decode(text).unwrap().node_settings.bounds
    assert (bounds.cold_over, bounds.cold_slack) == (1.5, 8.0)


def test_balancing_is_read_if_present() -> None:
    defaults = platform_settings.decode(TEXT).unwrap().node_settings.balancing
    assert defaults == settings.Balancing()
    text = TEXT + "[balancing]\nfew_slots = 2\nfar_s_per_mb = 0.5\n"
    balancing = platform_settings.decode(text).unwrap().node_settings.balancing
    assert (balancing.few_slots, balancing.far_s_per_mb) == (2, 0.5)
    assert balancing.admission_slots == defaults.admission_slots


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("[self]", "[balancing]\nfew_slots = -1\n[self]", "$.balancing.few_slots"),
        ('ip = "10.1.0.38"', "ip = 7", "$.self.ip"),
        ('zone = "ar-central-a"\n', "", "zone"),
        ("grace_s = 6", "grace_s = 0", "$.terms.bounds.grace_s"),
        ('"10.1.0.38:8147"', '"somewhere:8147"', "somewhere:8147"),
        ("[terms.bounds]", "[terms.bounds", "not valid"),
    ],
)
def test_error_names_the_invalid_field_or_value(
    old: str, new: str, expected: str
) -> None:
    error = platform_settings.decode(TEXT.replace(old, new)).unwrap_err()
    assert expected in error


def test_missing_file_is_returned_as_an_error(tmp_path: pathlib.Path) -> None:
    error = platform_settings.load(tmp_path / "none.toml").unwrap_err()
    assert "cannot be read" in error
