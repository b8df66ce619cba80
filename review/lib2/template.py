"""Renders the settings template of the deploy file, as DEPLOY.md describes it."""

import json
import re

_TAG = re.compile(r"\{\{([#^/]?)\s*([^{}|]+?)\s*(\|json)?\}\}|\{\{(,)\}\}")


def _parse(text):
    """Return the template as nested lists of literals and tags."""
    stack = [[]]
    names = []
    at = 0
    for found in _TAG.finditer(text):
        stack[-1].append(("text", text[at : found.start()]))
        at = found.end()
        mark, name, as_json = found[1], found[2], bool(found[3])
        if mark and mark in "#^":
            names.append((mark, name))
            stack.append([])
        elif mark == "/":
            kind, opened = names.pop()
            assert opened == name, f"{opened} is closed by {name}"
            inner = stack.pop()
            stack[-1].append((kind, name, inner))
        else:
            stack[-1].append(("value", name, as_json))
    stack[-1].append(("text", text[at:]))
    assert len(stack) == 1, "a section is not closed"
    return stack[0]


def _find(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def _show(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def _render(nodes, scopes):
    parts = []
    for node in nodes:
        if node[0] == "text":
            parts.append(node[1])
        elif node[0] == "value":
            parts.append(_show(_find(scopes, node[1]), node[2]))
        else:
            value = _find(scopes, node[1])
            if node[0] == "^":
                if not value:
                    parts.append(_render(node[2], scopes))
            elif isinstance(value, list | dict):
                items = value.values() if isinstance(value, dict) else value
                parts += [_render(node[2], [*scopes, item]) for item in items]
            elif value is not None and value is not False:
                parts.append(_render(node[2], [*scopes, value]))
    return "".join(parts)


def render(text, fields):
    """Return the settings file for one process.

    Args:
        text: The template.
        fields: Fields of the settings of a process.
    """
    return _render(_parse(text), [fields])
