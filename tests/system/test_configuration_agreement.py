"""What a control process accepts is in force on a router: documents mutated field by field."""

from __future__ import annotations

import json
from typing import Any

import pytest

from benchmarks.configuration_mutations import FULL, Router, compare
from hazelbend.control.configuration_reader import InvalidConfigurationError, check_configuration

MUTATIONS = 120  # for each seed


def with_value(path: str, value: object) -> bytes:
    """Return the full document with another value at a path such as `routes.0.resume`."""
    document: Any = json.loads(json.dumps(FULL))
    container = document
    *steps, last = [int(step) if step.isdecimal() else step for step in path.split(".")]
    for step in steps:
        container = container[step]
    container[last] = value
    return json.dumps(document).encode()


# Guards against an acknowledged configuration that no router can read, or none can serve with (review/5).
@pytest.mark.parametrize("seed", range(3))
def test_each_accepted_configuration_is_in_force_on_a_router(seed):
    counts, faults = compare(MUTATIONS, seed)
    assert counts["accepted"] and counts["refused"]
    assert not faults


# Guards against numbers that a router can read and can't compute with: none of a route's requests is served.
@pytest.mark.parametrize(
    ("path", "value"),
    [
        *[("routes.2.timeoutMs", value) for value in (1, 2, 29, 30, 31, 59, 60, 2**63 - 1)],
        *[("routes.0.timeoutMs", value) for value in (1, 30, 2**63 - 1)],
        *[("routes.0.targetMs", value) for value in (0, 2**63 - 1)],
        *[("routes.0.gap_aim_ms", value) for value in (-1e308, 0, 1e308)],
        *[("routes.0.retries", value) for value in (0, 2**63 - 1)],
        *[("services.0.engine.bandwidthMbps", value) for value in (-1e308, 0, 5e-324, 1e308)],
        *[("services.0.engine.kvCapacity", value) for value in (-(2**63), 0, 1, 2**63 - 1)],
        *[("services.0.engine.kvTokenBytes", value) for value in (-(2**63), 0, 2**63 - 1)],
        *[("services.0.engine.capacity", value) for value in (-(2**63), 0, 2**63 - 1)],
    ],
)  # fmt: skip
def test_extreme_number_is_served_with(path, value):
    body = with_value(path, value)
    router = Router()
    assert router.fault_of(check_configuration(body), body) is None
    router.close()


# Guards against weights that a router can read and can't draw by.
def test_weights_whose_sum_is_not_finite_are_refused():
    body = with_value("routes.1.split", [{"backend": "plain", "weight": 1e308}] * 2)
    with pytest.raises(InvalidConfigurationError, match=r"routes\[1\].split: the weights sum to inf"):
        check_configuration(body)


# Guards against an acknowledged configuration that no router can read (review/5).
@pytest.mark.parametrize(
    ("path", "value", "finding"),
    [
        ("routes.0.resume", "false", "routes[0].resume: Expected `bool`, got `str`"),
        ("routes.0.sticky", 1, "routes[0].sticky: Expected `bool`, got `int`"),
        ("routes.0.gap_aim_ms", "300", "routes[0].gap_aim_ms: Expected `float`, got `str`"),
        ("routes.1.split.0.weight", "90", "routes[1].split[0].weight: Expected `float`, got `str`"),
        ("services.0.engine", [], "services[0].engine: Expected `object | null`, got `array`"),
        ("services.0.engine.capacity", "64", "services[0].engine.capacity: Expected `int`, got `str`"),
        ("services.0.engine.kvCapacity", 2**63, None),
        ("services.0.engine.bandwidthMbps", None, None),
        ("routes.0.kind", "odd", "routes[0].kind: Expected one of safe, unsafe, stream"),
    ],
)  # fmt: skip
def test_field_of_another_type_is_refused_with_its_path_and_what_was_expected(path, value, finding):
    with pytest.raises(InvalidConfigurationError) as caught:
        check_configuration(with_value(path, value))
    [found] = map(str, caught.value.findings)
    assert found == finding or (finding is None and path.rpartition(".")[2] in found)


@pytest.mark.parametrize(
    "body",
    [b"\xff", b'{"later":"\xff","version":1,"routes":[],"services":[]}', b'{"version":1e400}',
     b'{"version":NaN}', b"[" * 100_000, b'{"later":' + b"[" * 100_000, b'{"version":1}{}',
     b'{"version":9' + b"9" * 5_000 + b"}"],
)  # fmt: skip
def test_document_that_is_not_json_is_refused(body):
    with pytest.raises(InvalidConfigurationError):
        check_configuration(body)


def test_unknown_fields_are_ignored_up_to_a_bound_on_their_nesting():
    """Decoding is recursive: how deep it can go depends on the stack of its caller, in each process."""
    for levels, is_accepted in ((60, True), (70, False)):
        body = with_value("later", "nested").replace(b'"nested"', b"[" * levels + b"]" * levels)
        if is_accepted:
            assert check_configuration(body) == FULL["version"]
        else:
            with pytest.raises(InvalidConfigurationError):
                check_configuration(body)
