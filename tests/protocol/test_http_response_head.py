"""Which heads of HTTP responses are valid, by RFC 9110 and RFC 9112."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hazelbend.protocol.http_response_head import MalformedHeadError, ResponseHead, check_head

VALID_HEAD = ResponseHead(200)


@pytest.mark.parametrize("status", [100, 102, 199, 200, 299, 300, 399, 418, 499, 500, 599])
def test_status_of_a_class_is_valid(status):
    check_head(replace(VALID_HEAD, status=status))


@pytest.mark.parametrize("status", [0, 1, 99, 101, 600, 999])
def test_status_of_no_class_and_an_unrequested_upgrade_are_rejected(status):
    with pytest.raises(MalformedHeadError, match=f"status {status:03}"):
        check_head(replace(VALID_HEAD, status=status))
