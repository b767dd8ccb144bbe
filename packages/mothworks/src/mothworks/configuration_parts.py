"""Parts: immutable pieces of a catalogue, named by the hash of their content.

A section is cut after items whose name's hash says so. An item that is added
or changed alters one part only, wherever it stands, so that one change costs
the object API and the network one part and not the whole catalogue.
"""

import collections.abc
import itertools
import typing
import zlib

import attrs
import orjson
import result
import xxhash

from mothworks import catalogue, documents, objects

KEY_PREFIX = "configuration/parts/"
#: Mean number of items in a part.
MEAN_ITEMS = 128
#: Bytes after which a part is cut in any case.
CUT_BYTES = 128 << 10

_type_by_section = {
    field.name: field.type for field in attrs.fields(catalogue.Catalogue)
}


@attrs.frozen
class Part:
    """One part, as JSON and as checked items.

    :param name: hash of the JSON.
    :param section: the catalogue's section that it belongs to.
    :param packed: the JSON, compressed.
    :param items: the checked items; a section that is no list has one.
    """

    name: str
    section: str
    packed: bytes
    items: tuple[typing.Any, ...]


@attrs.frozen
class Content:
    """What a part's JSON holds.

    :param section: the catalogue's section.
    :param items: plain items.
    """

    section: str
    items: list[typing.Any]


def split(declared: catalogue.Catalogue) -> list[Part]:
    """Cut a catalogue into parts, in the order of its items.

    :param declared: a checked catalogue.
    """
    parts = []
    for section, plain in documents.plain(declared).items():
        items = getattr(declared, section)
        if isinstance(plain, dict):
            parts.append(_part(section, [plain], (items,)))
            continue
        start = 0
        for end in _cuts(plain):
            parts.append(_part(section, plain[start:end], items[start:end]))
            start = end
    return parts


def read(name: str, packed: bytes) -> result.Result[Part, documents.DocumentError]:
    """Check a part that came from elsewhere.

    A part may be corrupt, or written by a newer version of the program with
    fields that this one does not know; either is refused.

    :param name: the hash that it must have.
    :param packed: its JSON, compressed.
    """
    source = KEY_PREFIX + name
    try:
        body = zlib.decompressobj().decompress(packed, objects.MOST_BYTES)
    except zlib.error as error:
        return result.Err(documents.DocumentError(source, (str(error),)))
    if xxhash.xxh3_128_hexdigest(body) != name:
        problem = "the content does not have the hash that names it"
        return result.Err(documents.DocumentError(source, (problem,)))
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return result.Err(documents.DocumentError(source, (f"not JSON: {error}",)))
    match documents.structure(value, Content, source):
        case result.Ok(content) if content.section in _type_by_section:
            pass
        case result.Ok(content):
            problem = f"unknown section {content.section!r}"
            return result.Err(documents.DocumentError(source, (problem,)))
        case error:
            return error
    return _structure(content, source).map(
        lambda items: Part(name, content.section, packed, items)
    )


def pack(body: bytes) -> bytes:
    """Return a part's JSON compressed, as it goes between VMs.

    :param body: the JSON, as the object API holds it.
    """
    return zlib.compress(body)


def body(part: Part) -> bytes:
    """Return a part's JSON.

    :param part: the part.
    """
    return zlib.decompress(part.packed)


def join(parts: collections.abc.Iterable[Part]) -> catalogue.Catalogue:
    """Return the catalogue that parts make up.

    :param parts: all parts of one revision, in order.
    """
    items_by_section: dict[str, list] = {}
    for part in parts:
        items_by_section.setdefault(part.section, []).extend(part.items)
    sections = {
        section: tuple(items) if _is_list(section) else items[0]
        for section, items in items_by_section.items()
    }
    return catalogue.Catalogue(**sections)


def _is_list(section: str) -> bool:
    return typing.get_origin(_type_by_section[section]) is tuple


def _cuts(items: list[dict]) -> collections.abc.Iterator[int]:
    """Yield the places after which a section is cut, its end among them."""
    size = 0
    for place, item in enumerate(items, 1):
        size += len(orjson.dumps(item))
        if size >= CUT_BYTES or place == len(items) or _ends_part(item["name"]):
            yield place
            size = 0


def _ends_part(name: str) -> bool:
    return xxhash.xxh64_intdigest(name.encode()) % MEAN_ITEMS == 0


def _part(section: str, plain: list, items: collections.abc.Iterable) -> Part:
    content = {"section": section, "items": plain}
    written = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    name = xxhash.xxh3_128_hexdigest(written)
    return Part(name, section, pack(written), tuple(items))


def _structure(content: Content, source: str):
    kind = _type_by_section[content.section]
    if _is_list(content.section):
        return documents.structure(content.items, kind, source)
    checked = [documents.structure(item, kind, source) for item in content.items[:1]]
    if not checked:
        return result.Err(documents.DocumentError(source, ("expected one item",)))
    return checked[0].map(lambda item: (item,))


def by_section(parts: list[Part]) -> dict[str, tuple[str, ...]]:
    """Return the names of parts by section, for a head.

    :param parts: all parts of one revision, in order.
    """
    grouped = itertools.groupby(parts, key=lambda part: part.section)
    return {section: tuple(part.name for part in group) for section, group in grouped}
