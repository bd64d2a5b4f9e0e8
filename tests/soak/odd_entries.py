"""Entries of backend servers that another writer may leave in the store."""

from __future__ import annotations

DEEP = "[" * 100_000 + "]" * 100_000


def make_entry(
    name: str = "odd",
    address: str = "127.0.0.1:9000",
    slots: str = "6",
    born: str = "1",
    warmup: str = "0ms",
    revision: str = "{revision}",
    metadata: str = "",
    spec: str = "",
    beside: str = "",
    service: str = "catalogue",
    zone: str = "north",
) -> str:
    """Return the JSON text of an entry, valid unless changed.

    :param revision: ``{revision}`` stands for the one that the store assigns.
    :param metadata: further members of ``metadata``; ``spec`` and ``beside`` likewise.
    """
    return (
        f'{{"metadata":{{"name":"{name}","revision":{revision}{metadata}}},'
        f'"spec":{{"address":"{address}","info":{{"service":"{service}","version":"v1",'
        f'"zone":"{zone}","slots":{slots}}},'
        f'"status":{{"state":"ready","warmupLeft":"{warmup}"}},"born":{born}{spec}}}{beside}}}'
    )


ODD_ENTRIES = {
    "nested beside the spec": make_entry(beside=f',"x":{DEEP}'),
    "nested in the spec": make_entry(spec=f',"x":{DEEP}'),
    "nested in the metadata": make_entry(metadata=f',"x":{DEEP}'),
    "nested 40 deep": make_entry(spec=',"x":' + "[" * 40 + "]" * 40),
    "start of 30 digits": make_entry(born="9" * 30),
    "start of 5,000 digits": make_entry(born="9" * 5_000),
    "negative start": make_entry(born="-5"),
    "fractional start": make_entry(born="1.5"),
    "slots of 30 digits": make_entry(slots="9" * 30),
    "no slots": make_entry(slots="0"),
    "negative slots": make_entry(slots="-3"),
    "revision of 30 digits": make_entry(revision="9" * 30),
    "revision far ahead": make_entry(revision="9" * 18),
    "negative revision": make_entry(revision="-1"),
    "port 99999": make_entry(address="127.0.0.1:99999"),
    "port 0": make_entry(address="127.0.0.1:0"),
    "port of 5,000 digits": make_entry(address="127.0.0.1:" + "9" * 5_000),
    "port missing": make_entry(address="127.0.0.1"),
    "negative port": make_entry(address="127.0.0.1:-1"),
    "address with a NUL": make_entry(address="127.0.0.1\\u0000:80"),
    "address with a lone surrogate": make_entry(address="\\ud800:80"),
    "address with a label of 70": make_entry(address="a" * 70 + ".x:80"),
    "slow start of 400 digits": make_entry(warmup="9" * 400 + "h"),
    "slow start of 400 digits in seconds": make_entry(warmup="9" * 400 + "s"),
    "slow start 1e999": make_entry(warmup="1e999s"),
    "name with a lone surrogate": make_entry(name="\\udc00"),
    "name with a line break": make_entry(name="odd\\r\\nTenant: other"),
    "no metadata": '{"spec":{}}',
    "no object": "7",
}
