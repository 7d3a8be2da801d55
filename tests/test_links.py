"""Links between nodes: frames, the proof of the key, and malformed input."""

import asyncio

import pytest

import builders_links
from sardinehold import errors
from sardinehold.core import positions
from sardinehold.node import execution
from sardinehold.node import forwarding
from sardinehold.node import frames
from sardinehold.node import links
from sardinehold.node import outcomes
from sardinehold.node import peers
from sardinehold.node import statements

Kind = statements.Kind

KEY = b"k" * 32

NOW = 500.0
"""Reading of the owner's clock."""


class FakeExecutor:
    """Records incoming requests, and never answers."""

    def __init__(self) -> None:
        self.requests: list[execution.Request] = []
        self.abandoned = 0

    async def run(self, stream, request):
        stream.is_running = True
        self.requests.append(request)
        await asyncio.sleep(3600)

    def abandon(self, stream):
        self.abandoned += 1


class LinksHarness:
    """Links of a node, with fakes behind them."""

    def __init__(self, tasks: list, key: bytes = KEY) -> None:
        self.lines: list[tuple[str, dict]] = []
        self.executor = FakeExecutor()
        self.links = forwarding.Links(
            "n1",
            lambda: key,
            self.executor,
            lambda name: None,
            self.read_changes,
            lambda function, *rest: tasks.append(
                asyncio.ensure_future(function(*rest))
            ),
            lambda event, **fields: self.lines.append((event, fields)),
        )

    async def read_changes(self, kind, revision, wait):
        raise errors.WatchExpired("gone", "read all again")

    def accept(self) -> tuple[links.Inbound, builders_links.RecordingTransport]:
        inbound, wire = self.links.accept(), builders_links.RecordingTransport()
        inbound.connection_made(wire)
        return inbound, wire


def run(scenario) -> None:
    async def main():
        tasks: list[asyncio.Future] = []
        try:
            await scenario(tasks)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(main())


def authenticate(
    inbound: links.Inbound, wire: builders_links.RecordingTransport, key: bytes = KEY
) -> None:
    """Prove the key as a node named n2."""
    nonce = wire.frames[0][1]
    proof = peers.sign(key, nonce + b"n2")
    inbound.data_received(frames.pack(frames.PROOF, "n2", b"nonce", proof))


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"after": None, "values": {}, "priority": 0, "is_in_transaction": True},
        {
            "statement": statements.Statement(
                "r2",
                "EXECUTE s \xff\x80",
                Kind.EXECUTE,
                definition=statements.Definition(True, "q2"),
                arguments="\xff\x80",
            )
        },
        {"divert_at": 4},
        {
            "attempt": execution.Attempt.HEDGE,
            "origin": execution.Origin(98.5, execution.Ending.ANSWERED),
        },
    ],
)
def test_request_round_trips(changes):
    request = builders_links.make_request(100.0, **changes)
    ((kind, stream, *fields),) = frames.Reader().feed(
        frames.pack_request(7, request, 100.25, 499.25, 1.0)
    )
    assert (kind, stream) == (frames.REQUEST, 7)
    # The owner has another clock: times count from the reading that it sent.
    parts = builders_links.list_fields(frames.parse_request(fields))
    expected = builders_links.list_fields(request)
    expected[9] += 400.0
    expected[10] += 400.0
    expected[-1] += 400.0
    if request.statement.kind is Kind.EXECUTE:
        # Endpoints are sent its arguments only, under another name.
        expected[4] = ""
    assert parts == expected


@pytest.mark.parametrize(
    ("place", "value"), [(-5, "soon"), (-4, "third"), (-4, None), (-3, "gone"), (-3, 0)]
)
def test_request_of_unknown_origin_is_malformed(place, value):
    request = builders_links.make_request(100.0)
    data = frames.pack_request(7, request, 100.25, 499.25, 1.0)
    ((_, _, *fields),) = frames.Reader().feed(data)
    fields[place] = value
    with pytest.raises(frames.FrameError, match="malformed request"):
        frames.parse_request(fields)


@pytest.mark.parametrize("ahead", [None, 5])
def test_rejection_round_trips(ahead):
    data = frames.pack(frames.REJECTED, 1, "diverted", "it holds 5", 0.5, ahead)
    ((_, _, *fields),) = frames.Reader().feed(data)
    rejected = frames.parse_rejected(fields)
    assert rejected.rejection is execution.Rejection.DIVERTED
    assert (rejected.retry_after, rejected.ahead) == (0.5, ahead)


def test_reply_round_trips():
    answer = statements.Answer(
        ["a", "\xe9"], "sig", None, "", "T", positions.Position(3, 9)
    )
    sent = execution.Reply(answer, execution.Load(4, 0.02), 0.75)
    ((_, _, *fields),) = frames.Reader().feed(frames.pack_reply(1, sent, NOW))
    reply = frames.parse_reply(fields)
    assert reply.age == 0.75
    assert reply.answer.rows == ["a", "\xe9"]
    assert reply.answer.position == positions.Position(3, 9)
    assert (reply.answer.status, reply.answer.completion_tag) == ("T", "sig")
    assert (reply.load.ahead, reply.load.service_time) == (4, 0.02)
    failed = statements.Answer([], error=statements.Failure.FAILED, detail="no")
    data = frames.pack_reply(1, execution.Reply(failed, execution.Load(0, 0.0)), NOW)
    ((_, _, *fields),) = frames.Reader().feed(data)
    assert frames.parse_reply(fields).answer.error is statements.Failure.FAILED


def test_frames_are_split_at_any_chunk_size():
    data = frames.pack(frames.PING, 1) + frames.pack(frames.PONG, 2)
    reader = frames.Reader()
    found = [frame for byte in data for frame in reader.feed(bytes([byte]))]
    assert found == [[frames.PING, 1], [frames.PONG, 2]]


def test_peer_without_the_key_is_refused():
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        inbound, wire = harness.accept()
        authenticate(inbound, wire, b"x" * 32)
        assert wire.is_aborted
        assert not inbound.is_up
        assert harness.lines[0][0] == "link_refused"

    run(scenario)


def test_node_without_the_key_refuses_all_peers():
    async def scenario(tasks):
        harness = LinksHarness(tasks, b"")
        inbound, wire = harness.accept()
        authenticate(inbound, wire, b"")
        assert wire.is_aborted

    run(scenario)


def test_request_before_the_proof_is_not_run():
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        inbound, wire = harness.accept()
        inbound.data_received(
            frames.pack_request(1, builders_links.make_request(), 100.0, NOW, 0.0)
        )
        await asyncio.sleep(0)
        assert wire.is_aborted
        assert not harness.executor.requests

    run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        b"GET / HTTP/1.1\r\n\r\n",
        frames.pack("x"),
        frames.pack(frames.REQUEST),
        frames.pack(frames.REQUEST, 1, "too", "short"),
        frames.pack(frames.REQUEST, 1, *[None] * 16),
        frames.pack(frames.REQUEST, [1], *[None] * 16),
        frames.pack(frames.CLOSE),
        frames.pack(frames.CLOSE, {}),
        frames.pack(frames.PING),
        frames.pack(99, 1),
        frames.pack(frames.WELCOME, b"x"),
    ],
)
def test_bad_frame_ends_its_link_and_no_other(data):
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        bad, bad_wire = harness.accept()
        good, good_wire = harness.accept()
        authenticate(bad, bad_wire)
        authenticate(good, good_wire)
        for inbound in (bad, good):
            inbound.data_received(
                frames.pack_request(1, builders_links.make_request(), 100.0, NOW, 0.0)
            )
        await asyncio.sleep(0)
        bad.data_received(data)
        assert bad_wire.is_aborted
        assert harness.executor.abandoned == 1
        assert not good_wire.is_aborted
        good.data_received(frames.pack(frames.PING, 3))
        assert good_wire.frames[-1][:2] == [frames.PONG, 3]
        assert ("link_ended", "n2") in [
            (event, fields.get("peer")) for event, fields in harness.lines
        ]

    run(scenario)


def test_endless_frame_uses_bounded_memory():
    reader = frames.Reader()
    head = b"\x91\xdb" + (2**31).to_bytes(4, "big")
    with pytest.raises(frames.FrameError):
        reader.feed(head + b"x" * (frames.MAX_FRAME + 1))


def test_only_so_many_links_wait_for_their_proof():
    # 600 silent connections took as many descriptors, without a bound.
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        harness.links.unproven.limit = 2
        proven, wire = harness.accept()
        authenticate(proven, wire)
        waiting = [harness.accept()[1] for _ in range(3)]
        assert [wire.is_aborted for wire in waiting] == [True, False, False]
        assert not wire.is_aborted

    run(scenario)


def test_link_without_a_proof_buffers_little():
    async def scenario(tasks):
        inbound, wire = LinksHarness(tasks).accept()
        inbound.data_received(b"\x91\xc6\x00\x10\x00\x00" + b"x" * frames.MAX_PROOF)
        assert wire.is_aborted

    run(scenario)


def test_frame_in_small_pieces_before_the_proof_ends_the_link():
    # An array of arrays in pieces became 446 MB of objects from 6 MB of input.
    async def scenario(tasks):
        inbound, wire = LinksHarness(tasks).accept()
        tree = []
        for _ in range(4):
            tree = [tree] * 15
        data = frames.pack(frames.PROOF, tree)
        for start in range(0, 2 * frames.MAX_PROOF, 100):
            inbound.data_received(data[start : start + 100])
        assert wire.is_aborted

    run(scenario)


def test_long_array_before_the_proof_ends_the_link():
    # 512 nested arrays of 4,095 items take 16 MB when only their heads have arrived.
    async def scenario(tasks):
        inbound, wire = LinksHarness(tasks).accept()
        inbound.data_received(b"\xdc\x0f\xff")
        assert wire.is_aborted

    run(scenario)


def test_request_that_fits_no_frame_is_refused_and_keeps_the_link():
    # The owner ended the link, and with it the requests of other callers.
    async def scenario(tasks):
        link = links.Outbound(LinksHarness(tasks).links, "n2")
        wire = builders_links.RecordingTransport()
        link.connection_made(wire)
        link.is_up = True
        request = builders_links.make_request(values={"a": "x" * frames.MAX_FRAME})
        with pytest.raises(outcomes.StatementFailed):
            await link.send_request(1, request)
        assert link.is_unused()
        assert not wire.frames

    run(scenario)


def test_long_requests_beyond_the_share_of_memory_are_rejected_and_not_run():
    # Nodes together may send an owner more long statements than its memory holds.
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        harness.links.limits.requests = 1000
        inbound, wire = harness.accept()
        authenticate(inbound, wire)
        for number in (1, 2):
            request = builders_links.make_request(values={"a": "x" * 600})
            inbound.data_received(frames.pack_request(number, request, 0.0, 0.0, 0.0))
        await asyncio.sleep(0)
        assert len(harness.executor.requests) == 1
        assert wire.frames[-1][:3] == [frames.REJECTED, 2, "full"]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert harness.links.request_bytes == 0

    run(scenario)


def test_second_request_on_a_running_stream_ends_the_link():
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        inbound, wire = harness.accept()
        authenticate(inbound, wire)
        inbound.data_received(
            frames.pack_request(1, builders_links.make_request(), 100.0, NOW, 0.0)
        )
        await asyncio.sleep(0)
        inbound.data_received(
            frames.pack_request(1, builders_links.make_request(), 100.0, NOW, 0.0)
        )
        assert wire.is_aborted

    run(scenario)


def test_peer_that_reads_no_answers_is_not_read_from():
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        inbound, wire = harness.accept()
        authenticate(inbound, wire)
        inbound.pause_writing()
        assert not wire.is_reading
        inbound.resume_writing()
        assert wire.is_reading

    run(scenario)


def test_both_ends_must_prove_the_key():
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        outbound, wire = (
            links.Outbound(harness.links, "n2"),
            builders_links.RecordingTransport(),
        )
        outbound.connection_made(wire)
        nonce = b"n" * links.NONCE_BYTES
        outbound.data_received(frames.pack(frames.CHALLENGE, nonce, NOW))
        proof = wire.frames[-1][3]
        assert proof == peers.sign(KEY, nonce + b"n1")
        outbound.data_received(frames.pack(frames.WELCOME, b"guessed"))
        assert wire.is_aborted
        assert not outbound.can_open_stream()

    run(scenario)


@pytest.mark.parametrize(
    "nonce",
    [b"", b"n" * 15, b"n" * 17, "n" * 16, peers.pack(b'{"kind":"advice"}'), None],
)
def test_challenge_of_another_length_is_not_signed(nonce):
    # Whoever is dialled chose the start of a signed text, such as that of a datagram.
    async def scenario(tasks):
        harness = LinksHarness(tasks)
        outbound = links.Outbound(harness.links, "n2")
        wire = builders_links.RecordingTransport()
        outbound.connection_made(wire)
        outbound.data_received(frames.pack(frames.CHALLENGE, nonce, NOW))
        assert wire.frames == []
        assert wire.is_aborted

    run(scenario)
