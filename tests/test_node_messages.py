"""Datagrams between nodes: small, complete, and only from this fleet."""

import json
import zlib

import pytest

import builders_node
from sardinehold import objects
from sardinehold.node import membership
from sardinehold.node import peers
from sardinehold.node import store_watch


def make_peers(received: list) -> peers.Peers:
    found = peers.Peers(lambda message, _: received.append(message), lambda *_: None)
    found.key = b"k" * 32
    return found


def make_datagram(sender: peers.Peers, body: bytes) -> bytes:
    return sender._sign(body) + body


def test_report_round_trips_in_less_than_half_the_size():
    received = []
    found = make_peers(received)
    message = builders_node.make_report().dump()
    data = json.dumps(message).encode()
    body = peers.pack(data)
    found.datagram_received(make_datagram(found, body), ("a", 1))
    assert received == [json.loads(data)]
    assert len(body) < len(data) / 2


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        peers.pack(b'{"kind": 1}')[:-1],
        peers.pack(b'{"kind": 1}') + b"n1",
        peers.pack(b"no JSON"),
    ],
)
def test_malformed_datagram_is_counted_and_ignored(body):
    received = []
    found = make_peers(received)
    found.datagram_received(make_datagram(found, body), ("a", 1))
    assert (received, found.rejected) == ([], 1)


def test_datagram_of_another_fleet_is_rejected():
    received = []
    found, other = make_peers(received), make_peers([])
    other.key = b"o" * 32
    found.datagram_received(make_datagram(other, peers.pack(b"{}")), ("a", 1))
    assert (received, found.rejected) == ([], 1)


def test_message_that_exceeds_the_maximum_is_not_decompressed():
    packed = peers.pack(b" " * (peers.MAX_MESSAGE + 1))
    assert len(packed) < peers.MAX_DATAGRAM
    with pytest.raises(zlib.error):
        peers.unpack(packed)


def test_largest_object_of_the_store_can_be_sent():
    data = json.dumps({"routes": [{"name": f"r{n}"} for n in range(40_000)]}).encode()
    assert peers.unpack(peers.pack(data)) == data


def test_member_is_overdue_after_a_long_uninterrupted_silence():
    absences = membership.Absences()
    absences.note(["a", "b"], 0.0)
    absences.note(["a"], 5.0)
    absences.note(["a", "b"], 5.1)
    late = membership.REMOVAL_DELAY + 0.1
    absences.note(["a", "b"], late)
    assert absences.list_overdue(late) == ["a"]


def test_removal_is_covered_by_the_answers_revision():
    kept = objects.StoredObject("k", "a", 7, {})
    gone = objects.StoredObject("k", "b", 3, None)
    assert store_watch.find_newest(objects.Changes([], 9)) == 0
    assert store_watch.find_newest(objects.Changes([kept], 9)) == 7
    assert store_watch.find_newest(objects.Changes([kept, gone], 9)) == 9
