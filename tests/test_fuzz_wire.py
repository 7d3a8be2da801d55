"""Fuzz tests of message framing and parsing: no crash, no hang, bounded memory."""

import pytest
from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

import builders_wire as builders
from sardinehold import answers
from sardinehold import errors
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import sequences
from sardinehold import startup_packets
from sardinehold import wire

fixed = options(derandomize=True, deadline=None, max_examples=300)

TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
KINDS = st.sampled_from(list(b"123TDCEZNSAnItsGKR?"))
MESSAGES = st.builds(
    lambda kind, payload: wire.build_frame(bytes((kind,)), payload),
    KINDS,
    st.binary(max_size=40),
)


@fixed
@given(st.binary(max_size=200))
def test_startup_packet_is_read_or_refused(payload):
    data = wire.build_packet(wire.PROTOCOL_VERSION, payload)
    assert startup_packets.find_packet_end(data, len(data)) == len(data)
    try:
        packet = startup_packets.parse_packet(data)
    except (errors.ProtocolViolation, errors.Unsupported):
        return
    assert packet.user


@fixed
@given(st.dictionaries(TEXT.filter(bool), TEXT, max_size=5), TEXT.filter(bool))
def test_startup_parameters_are_kept(parameters, user):
    reserved = {"user", "database", "options", "replication"}
    own = {startup_packets.TOKEN_SETTING, startup_packets.AGE_SETTING}
    expected_settings = {k: v for k, v in parameters.items() if k not in reserved | own}
    packet = startup_packets.parse_packet(
        wire.build_startup({"user": user, **expected_settings})
    )
    assert packet.settings == expected_settings
    assert packet.user == packet.route == user


@fixed
@given(st.sampled_from(list(b"PBDEC")), st.binary(max_size=60))
def test_extended_message_is_read_or_refused(kind, payload):
    sequence = sequences.Sequence(prepared.SessionStatements())
    raw = wire.build_frame(bytes((kind,)), payload)
    refusals = (
        errors.ProtocolViolation,
        errors.UnknownStatement,
        errors.Unsupported,
    )
    try:
        sequence.add(kind, raw)
    except refusals:
        return
    outgoing = sequence.compose(prepared.ConnectionStatements())
    assert outgoing.payload.endswith(wire.SYNC)


@fixed
@given(st.binary(max_size=100))
def test_row_is_read_or_refused(payload):
    try:
        row = wire.parse_row(payload)
    except errors.ProtocolViolation:
        return
    assert isinstance(row, tuple)


class Sink:
    def __init__(self):
        self.forwarded = []
        self.forward = self.forwarded.append


def read_answer(data, split_points, is_buffered=False, steps=None):
    """Feed ``data`` in chunks; return the answer and the forwarded bytes."""
    sink = Sink()
    known = prepared.ConnectionStatements()
    rewriter = None if steps is None else answers.AnswerRewriter(steps, known)
    answer = answers.Answer(sink, is_buffered, rewriter)
    unparsed, position = b"", 0
    for split_point in [*sorted(split_points), len(data)]:
        piece = unparsed + data[position : max(split_point, position)]
        position = max(split_point, position)
        read = answer.feed(piece, 0, len(piece))
        unparsed = piece[read:]
        if answer.done:
            break
        answer.release()
    return answer, b"".join(sink.forwarded) + bytes(answer.held)


SPLIT_POINTS = st.lists(st.integers(0, 300), max_size=8)


@fixed
@given(st.lists(st.binary(max_size=40), max_size=8), SPLIT_POINTS, st.booleans())
def test_answer_is_forwarded_byte_for_byte_wherever_it_is_split(
    rows, split_points, is_buffered
):
    data = b"".join(wire.build_frame(b"D", row) for row in rows)
    data += wire.build_complete("SELECT") + wire.build_ready("T")
    answer, forwarded = read_answer(data, split_points, is_buffered)
    assert forwarded == data
    assert (answer.done, answer.status) == (True, "T")


@fixed
@given(st.lists(MESSAGES, max_size=10), SPLIT_POINTS, st.booleans())
def test_tail_of_an_answer_is_never_forwarded_before_its_end(
    messages, split_points, is_buffered
):
    data = b"".join(messages) + wire.build_ready("I")
    try:
        answer, forwarded = read_answer(data, split_points, is_buffered)
    except errors.ProtocolViolation:
        return
    assert data.startswith(forwarded)
    assert answer.done
    assert bytes(answer.held).endswith(forwarded[-wire.READY_SIZE :])


@pytest.mark.parametrize("steps", [None, []])
@pytest.mark.parametrize("payload", [b"", b"II"])
def test_ready_message_of_another_length_is_a_violation(payload, steps):
    # The status was read behind the end of the message.
    data = wire.build_frame(b"Z", payload)
    with pytest.raises(errors.ProtocolViolation):
        read_answer(data, [], steps=steps)


@pytest.mark.parametrize("steps", [None, []])
@pytest.mark.parametrize(
    ("name", "value"),
    [("standard_conforming_strings", "off"), ("client_encoding", "SJIS")],
)
def test_endpoint_that_reads_texts_in_another_way_is_a_violation(name, value, steps):
    # set_config() and other functions change these settings as SET does.
    end = wire.build_complete("SELECT 1") + wire.build_ready("I")
    with pytest.raises(errors.ProtocolViolation):
        read_answer(wire.build_parameter(name, value) + end, [], steps=steps)
    for harmless in ("on", "UTF8"):
        data = wire.build_parameter("application_name", harmless) + end
        assert read_answer(data, [], steps=steps)[0].done


@fixed
@given(st.binary(max_size=300), SPLIT_POINTS)
def test_random_answer_is_forwarded_or_refused(data, split_points):
    try:
        _, forwarded = read_answer(data, split_points)
    except errors.ProtocolViolation:
        return
    assert data.startswith(forwarded)


STEPS = st.lists(st.sampled_from(["pass", "suppress", "inject"]), max_size=8)


@fixed
@given(STEPS, SPLIT_POINTS)
def test_answers_are_suppressed_and_inserted(kinds, split_points):
    sent, expected, steps = b"", b"", []
    for number, kind in enumerate(kinds):
        frame = wire.build_complete(f"step {number}")
        if kind == "inject":
            steps.append(sequence_messages.ExpectedAnswer(injected=frame))
        else:
            sent += frame
            steps.append(
                sequence_messages.ExpectedAnswer(suppressed=kind == "suppress")
            )
        if kind != "suppress":
            expected += frame
    ready = wire.build_ready("I")
    answer, forwarded = read_answer(sent + ready, split_points, steps=steps)
    assert forwarded == expected + ready
    assert answer.done


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
async def test_random_input_leaves_no_state():
    async with builders.run_path() as fleet:
        generator = builders.build_random(7)
        for _ in range(200):
            caller = await builders.Caller.open(fleet.port)
            size = generator.randrange(40)
            caller.write(generator.randbytes(size))
            caller.writer.write_eof()
            await caller.reader.read()
            caller.close()
        while fleet.path.callers:
            await builders.anyio.sleep(0.001)
        assert len(fleet.path.pending_callers) == 0
        assert fleet.path.requests == {}
