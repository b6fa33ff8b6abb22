"""Steps for the settings of a process and their page."""

from __future__ import annotations

import re
from pathlib import Path

import yaml
from behave import given, then, when
from pydantic_core import PydanticUndefined

from limedyke.proxy.statements.settings import StatementProxySettings
from limedyke.result_codes import ResultCode
from limedyke.settings.base import CommonSettings
from limedyke.settings.controller import ControllerSettings
from limedyke.settings.files import load_secrets, load_settings
from limedyke.settings.proxy import ProxySettings, TlsSettings

ROOT = Path(__file__).resolve().parents[2]
COMMON = {
    "name": "n1",
    "zone": "z1",
    "data_folder": "data",
    "secrets_file": "secrets.yaml",
    "status_listen": "127.0.0.1:9000",
}
VALID = {
    "proxy": {
        **COMMON,
        "client_listen": "127.0.0.1:5432",
        "link_listen": "127.0.0.1:7000",
        "link_advertise": "127.0.0.1:7000",
        "controllers": ["127.0.0.1:6000"],
    },
    "controller": {
        **COMMON,
        "listen": "127.0.0.1:6000",
        "advertise": "127.0.0.1:6000",
        "peers": [],
    },
}
MODELS = {"proxy": ProxySettings, "controller": ControllerSettings}


@given("settings: the valid settings of a {process}")
def step_valid(context, process):
    context.model = MODELS[process]
    context.values = dict(VALID[process])
    context.file = context.folder / "settings.yaml"
    context.file.write_text(yaml.safe_dump(context.values))


@given('settings: "{key}" is set to {value}')
def step_set(context, key, value):
    context.values[key] = yaml.safe_load(value)
    context.file.write_text(yaml.safe_dump(context.values))


@given("settings: a file with {content}")
def step_content(context, content):
    context.model = ProxySettings
    context.file = context.folder / "settings.yaml"
    texts = {"broken YAML": "a: b: c", "a list": "- 1\n", "no line": ""}
    if content in texts:
        context.file.write_text(texts[content])


@when("settings: the file is loaded")
def step_load(context):
    context.answer = load_settings(context.model, context.file)


@when('settings: the file is loaded with the flag "{key}" set to "{value}"')
def step_load_flag(context, key, value):
    context.answer = load_settings(context.model, context.file, {key: value, "region": None})


@then('settings: "{key}" is "{value}"')
def step_value(context, key, value):
    assert str(getattr(context.answer.unwrap(), key)) == value


@then(
    'settings: it is refused as SETTINGS_INVALID naming the file, "{named:Anything}" and "{reason}"'
)
def step_refused(context, named, reason):
    assert context.answer.is_err(), context.answer
    failure = context.answer.err_value
    assert failure.code is ResultCode.SETTINGS_INVALID
    for part in (str(context.file), named, reason):
        assert part in failure.detail, failure.detail


@given('settings: a secrets file with "{name}" set to "{value}"')
def step_secrets(context, name, value):
    path = context.folder / "secrets.yaml"
    path.write_text(yaml.safe_dump({name: value}))
    context.secrets = load_secrets(path).unwrap()


@then('settings: the secret "{name}" is "{value}"')
def step_secret(context, name, value):
    assert context.secrets.get(name) == value


@then('settings: the text forms of the secrets do not contain "{value}"')
def step_hidden(context, value):
    assert value not in repr(context.secrets) + str(context.secrets)


def _default_text(field) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if field.default in ("", (), None):
        return "none"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return str(field.default)


@then("settings: docs/SETTINGS.md lists every setting with its default")
def step_page(context):
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    rows = set(re.findall(r"^\| `([a-z_]+)` \| ([^|]+) \|", page, re.MULTILINE))
    expected = set()
    models = (
        CommonSettings,
        ProxySettings,
        ControllerSettings,
        TlsSettings,
        StatementProxySettings,
    )
    for model in models:
        expected |= {(key, _default_text(field)) for key, field in model.model_fields.items()}
    rows = {(key, default.strip()) for key, default in rows}
    assert rows == expected, f"missing {expected - rows}, not settings {rows - expected}"
