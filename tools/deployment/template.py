"""Fills a template of the deploy file from the fields of a machine, as the platform does.

    {{a}} {{a.b}} {{a.0}}   a value; a list as its items joined by commas, a table as JSON
    {{a|json}} {{.|json}}   a value, or all fields, as JSON
    {{#a}} .. {{/a}}        once for each entry of a list or table, or once where the value is true
    {{^a}} .. {{/a}}        once where there is none, or where it is false
    {{.}} {{@}} {{,}}       in a section: the entry, its key or number, a comma but after the last

Nothing is escaped. A name that no field has gives an empty text, as on the platform; find_names
tells which names a template needs.
"""
import json
import re
from dataclasses import dataclass
from typing import Any

_GAP = re.compile(r"\{\{(.*?)\}\}", re.DOTALL)
_NAME = re.compile(r"[A-Za-z_0-9]+(?:\.[A-Za-z_0-9]+)*")
_JSON_SUFFIX = "|json"


class TemplateError(ValueError):
    """A template that no platform could fill."""


@dataclass(frozen=True)
class _Scope:
    """Where names are looked up: the entry of a section first, then what is around it."""

    value: Any
    key: str = ""
    is_last: bool = True
    outer: "_Scope | None" = None

    def find(self, name: str) -> Any:
        """The value of a dotted name; None: there is none."""
        first, *rest = name.split(".")
        found = _child(self.value, first)
        if found is None and self.outer is not None:
            return self.outer.find(name)
        for part in rest:
            found = _child(found, part)
        return found


def _child(value: Any, name: str) -> Any:
    if isinstance(value, dict):
        return value.get(name)
    if isinstance(value, list) and name.isdigit() and int(name) < len(value):
        return value[int(name)]
    return None


@dataclass(frozen=True)
class _Text:
    text: str


@dataclass(frozen=True)
class _Value:
    name: str
    is_json: bool


@dataclass(frozen=True)
class _Section:
    name: str
    is_inverted: bool
    parts: tuple


def _parse_value(gap: str) -> _Value:
    is_json = gap.endswith(_JSON_SUFFIX)
    name = gap.removesuffix(_JSON_SUFFIX)
    if name not in (".", "@", ",") and not _NAME.fullmatch(name):
        raise TemplateError(f"no gap of a template: {{{{{gap}}}}}")
    return _Value(name, is_json)


def _parse(template: str) -> tuple:
    """The parts of a template; raises TemplateError."""
    open_parts: list[list] = [[]]
    open_gaps: list[str] = []
    at = 0
    for match in _GAP.finditer(template):
        open_parts[-1].append(_Text(template[at:match.start()]))
        at = match.end()
        gap = match[1].strip()
        if gap[:1] in ("#", "^"):
            open_gaps.append(gap)
            open_parts.append([])
        elif gap[:1] == "/":
            if not open_gaps or open_gaps[-1][1:] != gap[1:]:
                raise TemplateError(f"{{{{{gap}}}}} ends no section that is open")
            opened, parts = open_gaps.pop(), open_parts.pop()
            open_parts[-1].append(_Section(gap[1:], opened[0] == "^", tuple(parts)))
        else:
            open_parts[-1].append(_parse_value(gap))
    if open_gaps:
        raise TemplateError(f"{{{{{open_gaps[-1]}}}}} is never ended")
    rest = template[at:]
    if "{{" in rest:
        raise TemplateError("{{ without its }}")
    return (*open_parts[0], _Text(rest))


def _show(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_show(item) for item in value)
    if isinstance(value, dict):
        return _to_json(value)
    return str(value)


def _to_json(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def _render_value(value: _Value, scope: _Scope) -> str:
    if value.name == ",":
        return "" if scope.is_last else ","
    if value.name == "@":
        return scope.key
    found = scope.value if value.name == "." else scope.find(value.name)
    return _to_json(found) if value.is_json else _show(found)


def _entries(value: Any) -> list[tuple[str, Any]]:
    """(key, entry) for each time that a section stands."""
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return [(str(number), entry) for number, entry in enumerate(value)]
    return []


def _render_section(section: _Section, scope: _Scope) -> str:
    value = scope.find(section.name)
    is_given = value is not None and value is not False and value != [] and value != {}
    if section.is_inverted:
        return "" if is_given else _render_parts(section.parts, scope)
    if not is_given:
        return ""
    entries = _entries(value)
    if not entries:
        return _render_parts(section.parts, scope)
    return "".join(
        _render_parts(section.parts, _Scope(entry, key, number + 1 == len(entries), scope))
        for number, (key, entry) in enumerate(entries))


def _render_parts(parts: tuple, scope: _Scope) -> str:
    texts = []
    for part in parts:
        if isinstance(part, _Text):
            texts.append(part.text)
        elif isinstance(part, _Value):
            texts.append(_render_value(part, scope))
        else:
            texts.append(_render_section(part, scope))
    return "".join(texts)


def render(template: str, fields: dict[str, Any]) -> str:
    """The text that the platform puts in place of the template; raises TemplateError."""
    return _render_parts(_parse(template), _Scope(fields))


def find_names(template: str) -> set[str]:
    """The fields that a template names, by the first part of a name; raises TemplateError.

    Names inside of a section are left out: they may be those of its entries.
    """
    parts = _parse(template)
    names = [part.name for part in parts if isinstance(part, (_Value, _Section))]
    return {name.split(".")[0] for name in names} - {"", ",", "@"}
