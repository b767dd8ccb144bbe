"""Parts: immutable pieces of a catalogue, named by the hash of their content.

Sections are split by content-defined chunking: a part ends after an item if
the hash of the item's name is a multiple of the mean part size. An item that
is added or changed alters only the part around it, so a change transfers one
part and not the whole catalogue.
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
#: Mean number of items per part.
MEAN_PART_ITEMS = 128
#: JSON bytes of items after which a part ends in any case.
SPLIT_BYTES = 128 << 10

_type_by_section = {
    field.name: field.type for field in attrs.fields(catalogue.Catalogue)
}


@attrs.frozen
class Part:
    """One part, as JSON and as typed items.

    :param name: the hash of the JSON.
    :param section: the catalogue's section that it belongs to.
    :param packed: the compressed JSON.
    :param items: the typed items; exactly one if the section is not a list.
    """

    name: str
    section: str
    packed: bytes
    items: tuple[typing.Any, ...]


@attrs.frozen
class Content:
    """The content of a part's JSON.

    :param section: the catalogue's section.
    :param items: the items as plain values.
    """

    section: str
    items: list[typing.Any]


def split(declared: catalogue.Catalogue) -> list[Part]:
    """Split a catalogue into parts, in the order of its items.

    :param declared: a checked catalogue.
    """
    parts = []
    for section, plain in documents.to_plain(declared).items():
        items = getattr(declared, section)
        if isinstance(plain, dict):
            parts.append(_make_part(section, [plain], (items,)))
            continue
        start = 0
        for end in _part_ends(plain):
            parts.append(_make_part(section, plain[start:end], items[start:end]))
            start = end
    return parts


def read(name: str, packed: bytes) -> result.Result[Part, documents.DocumentError]:
    """Decompress and check a part that was stored or sent by another VM.

    A part may be corrupt, or a newer program version may have written it with
    fields unknown to this one. Both are errors.

    :param name: the hash that the JSON must have.
    :param packed: the compressed JSON.
    """
    source = KEY_PREFIX + name
    try:
        body = zlib.decompressobj().decompress(packed, objects.MAX_VALUE_BYTES)
    except zlib.error as error:
        return result.Err(documents.DocumentError(source, (str(error),)))
    if xxhash.xxh3_128_hexdigest(body) != name:
        problem = "the content does not match the hash in its name"
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
    return _structure_items(content, source).map(
        lambda items: Part(name, content.section, packed, items)
    )


def pack(body: bytes) -> bytes:
    """Compress a part's JSON, as VMs store and exchange it.

    :param body: the JSON as stored in the object API, uncompressed.
    """
    return zlib.compress(body)


def body(part: Part) -> bytes:
    """Return a part's JSON.

    :param part: the part.
    """
    return zlib.decompress(part.packed)


def join(parts: collections.abc.Iterable[Part]) -> catalogue.Catalogue:
    """Assemble the catalogue from its parts.

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


def _part_ends(items: list[dict]) -> collections.abc.Iterator[int]:
    """Yield the end index of each part of a section."""
    size = 0
    for end, item in enumerate(items, 1):
        size += len(orjson.dumps(item))
        if size >= SPLIT_BYTES or end == len(items) or _is_boundary(item["name"]):
            yield end
            size = 0


def _is_boundary(name: str) -> bool:
    return xxhash.xxh64_intdigest(name.encode()) % MEAN_PART_ITEMS == 0


def _make_part(section: str, plain: list, items: collections.abc.Iterable) -> Part:
    content = {"section": section, "items": plain}
    encoded = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    name = xxhash.xxh3_128_hexdigest(encoded)
    return Part(name, section, pack(encoded), tuple(items))


def _structure_items(content: Content, source: str):
    item_type = _type_by_section[content.section]
    if _is_list(content.section):
        return documents.structure(content.items, item_type, source)
    structured = [
        documents.structure(item, item_type, source) for item in content.items[:1]
    ]
    if not structured:
        return result.Err(documents.DocumentError(source, ("expected one item",)))
    return structured[0].map(lambda item: (item,))


def names_by_section(parts: list[Part]) -> dict[str, tuple[str, ...]]:
    """Return the names of parts by section, for a head.

    :param parts: all parts of one revision, in order.
    """
    grouped = itertools.groupby(parts, key=lambda part: part.section)
    return {section: tuple(part.name for part in group) for section, group in grouped}
