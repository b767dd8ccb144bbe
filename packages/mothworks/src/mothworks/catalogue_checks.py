"""Checks of a whole catalogue: names, references, sizes and memory capacity.

A catalogue is checked before it is put in force. Every problem is reported
with its path and the expected value.
"""

import collections
import collections.abc

import attrs
import result

from mothworks import catalogue, documents, memory_packing, plugins


def parse_and_check(
    text: str, source: str
) -> result.Result[catalogue.Catalogue, documents.DocumentError]:
    """Parse and check a catalogue.

    :param text: the document, JSON with comments.
    :param source: its name in errors.
    """
    return documents.parse_as(text, catalogue.Catalogue, source).and_then(
        lambda read_catalogue: check(read_catalogue, source)
    )


def check(
    declared: catalogue.Catalogue, source: str
) -> result.Result[catalogue.Catalogue, documents.DocumentError]:
    """Check what depends on several items: names, references and sizes.

    :param declared: the catalogue.
    :param source: its name in errors.
    """
    problems = [
        *_duplicates(declared),
        *_references(declared),
        *_sizes(declared),
    ]
    if problems:
        return result.Err(documents.DocumentError(source, tuple(problems)))
    return result.Ok(declared)


def _duplicates(declared: catalogue.Catalogue) -> collections.abc.Iterator[str]:
    sections = ("data_centres", "services", "callers", "endpoints")
    for section in sections:
        names = [item.name for item in getattr(declared, section)]
        for name in _repeated_values(names):
            yield f"$.{section}: {name!r} is declared twice; names must be unique"
    model_names = [item.name for item in (*declared.models, *declared.adapters)]
    for name in _repeated_values(model_names):
        yield (
            f"$.models, $.adapters: {name!r} is declared twice; "
            "models and adapters share one set of names"
        )
    hashes = [item.key_sha256 for item in declared.callers]
    for key_sha256 in _repeated_values(hashes):
        yield f"$.callers: two callers have the key hash {key_sha256[:8]}..."


def _repeated_values(names: list[str]) -> list[str]:
    return sorted(
        name for name, count in collections.Counter(names).items() if count > 1
    )


def _references(declared: catalogue.Catalogue) -> collections.abc.Iterator[str]:
    index = catalogue.Index(declared)
    for position, adapter in enumerate(declared.adapters):
        if adapter.model not in index.model_by_name:
            yield f"$.adapters[{position}].model: no model is named {adapter.model!r}"
    callable_names = {
        *index.model_by_name,
        *index.adapter_by_name,
        *index.service_by_name,
    }
    for position, caller in enumerate(declared.callers):
        for name in caller.models:
            if name not in callable_names:
                yield (
                    f"$.callers[{position}].models: "
                    f"no model, adapter or service is named {name!r}"
                )
        if not 0 < caller.share <= 1:
            yield f"$.callers[{position}].share: expected a number above 0, at most 1"
    kinds = plugins.keys(plugins.ENDPOINT)
    for position, endpoint in enumerate(declared.endpoints):
        path = f"$.endpoints[{position}]"
        if endpoint.kind not in kinds:
            yield f"{path}.kind: expected one of {', '.join(kinds)}"
        if endpoint.data_centre not in index.region_by_data_centre:
            yield (
                f"{path}.data_centre: no data centre is named {endpoint.data_centre!r}"
            )
        if endpoint.service is not None and (
            endpoint.service not in index.service_by_name
        ):
            yield f"{path}.service: no service is named {endpoint.service!r}"


def _sizes(declared: catalogue.Catalogue) -> collections.abc.Iterator[str]:
    largest_mb = max((item.memory_mb for item in declared.endpoints), default=0)
    for position, item in enumerate(_items(declared)):
        if item.memory_mb > largest_mb:
            yield (
                f"$.models[{position}]: {item.name!r} needs {item.memory_mb} MB "
                f"with its working memory and adapters, but the largest endpoint has "
                f"{largest_mb} MB; {item.memory_mb - largest_mb} MB are missing"
            )


def check_capacity(
    declared: catalogue.Catalogue, source: str
) -> result.Result[catalogue.Catalogue, documents.DocumentError]:
    """Check that all models fit into the memory of each region at the same time.

    Draining endpoints do not count: a drain that left a model without memory
    would make it unreachable. This is checked when a change is applied, not
    when a stored revision is read, so that a program version with another
    packing algorithm never rejects the revision in force.

    :param declared: a checked catalogue.
    :param source: its name in errors.
    """
    items = _items(declared)
    problems = []
    for region, memories_mb in _memories_by_region(declared).items():
        endpoint_count = len(memories_mb)
        items_to_place = [
            attrs.evolve(item, copies=min(item.copies, endpoint_count))
            for item in items
        ]
        unplaced = memory_packing.unplaced(items_to_place, memories_mb)
        if unplaced:
            problems.append(_missing_memory(region, unplaced, memories_mb))
    if problems:
        return result.Err(documents.DocumentError(source, tuple(problems)))
    return result.Ok(declared)


def _items(declared: catalogue.Catalogue) -> list[memory_packing.Item]:
    """Return each model's size: weights, working memory and adapters."""
    adapters_mb: dict[str, int] = collections.Counter()
    for adapter in declared.adapters:
        adapters_mb[adapter.model] += adapter.memory_mb
    return [
        memory_packing.Item(
            model.name,
            model.memory_mb + model.working_mb + adapters_mb[model.name],
            model.replicas,
        )
        for model in declared.models
    ]


def _memories_by_region(declared: catalogue.Catalogue) -> dict[str, list[int]]:
    region_by_data_centre = {item.name: item.region for item in declared.data_centres}
    memories_mb = collections.defaultdict(list)
    for endpoint in declared.endpoints:
        region = region_by_data_centre.get(endpoint.data_centre)
        if region is not None and endpoint.memory_mb and not endpoint.drain:
            memories_mb[region].append(endpoint.memory_mb)
    return memories_mb


def _missing_memory(
    region: str, unplaced: list[memory_packing.Item], memories_mb: list[int]
) -> str:
    missing_mb = sum(item.memory_mb * item.copies for item in unplaced)
    names = ", ".join(repr(item.name) for item in unplaced[:5])
    more = f" and {len(unplaced) - 5} more" if len(unplaced) > 5 else ""
    return (
        f"$.models: {missing_mb} MB are missing in region {region!r}: beside the "
        f"other models, {names}{more} do not fit on its {len(memories_mb)} "
        f"endpoints with {sum(memories_mb)} MB"
    )
