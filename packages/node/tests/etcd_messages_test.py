"""Tests of hibiscushatch_node.adapters.etcd_messages."""

import json

import pydantic

from hibiscushatch_node.adapters import etcd_messages as messages


def test_encodes_json_as_the_gateway_documents_it() -> None:
    write = messages.PutRequest(key=b'foo', value=b'bar')
    compare = messages.Compare(
        key=b'foo', target='MOD', result='EQUAL', mod_revision=7
    )
    request = messages.TxnRequest(
        compare=(compare,), success=(messages.RequestOp(request_put=write),)
    )
    assert json.loads(request.encode()) == {
        'compare': [
            {
                'key': 'Zm9v',
                'target': 'MOD',
                'result': 'EQUAL',
                'mod_revision': '7',
            }
        ],
        'success': [{'request_put': {'key': 'Zm9v', 'value': 'YmFy'}}],
    }


def test_decodes_json_as_the_gateway_documents_it() -> None:
    line = (
        '{"result":{"header":{"cluster_id":"12585971608760269493",'
        '"revision":"9223372036854775807","raft_term":"2"},"events":['
        '{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"3",'
        '"version":"2","value":"YmFy"}},'
        '{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"4"}}]}}'
    )
    response = messages.WatchMessage.model_validate_json(line).result
    assert response.header.revision == 2**63 - 1
    assert [event.type for event in response.events] == ['PUT', 'DELETE']
    assert response.events[0].kv.value == b'bar'
    failed = messages.TxnResponse.model_validate_json('{"header":{}}')
    assert not failed.succeeded


def test_rejects_invalid_base64() -> None:
    for encoded in ('Zm9v!', 'Z', 7):
        text = json.dumps({'key': encoded})
        try:
            messages.KeyValue.model_validate_json(text)
        except pydantic.ValidationError:
            continue
        raise AssertionError(f'{encoded} is accepted as base64')


def test_prefix_end_sorts_after_every_key_with_the_prefix() -> None:
    table = ((b'a/', b'a0'), (b'a\xff', b'b'), (b'a\xfe', b'a\xff'))
    for prefix, end in table:
        assert messages.prefix_end(prefix) == end


def test_line_buffer_joins_chunks_and_limits_line_length() -> None:
    line_buffer = messages.LineBuffer()
    assert not list(line_buffer.feed(b'{"a"'))
    assert list(line_buffer.feed(b':1}\n{}\n\n{')) == [b'{"a":1}', b'{}']
    try:
        list(line_buffer.feed(bytes(messages.MESSAGE_BYTES_MAX)))
    except ValueError:
        return
    raise AssertionError('a line over MESSAGE_BYTES_MAX is kept')
