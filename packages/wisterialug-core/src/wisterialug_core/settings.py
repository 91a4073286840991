"""Settings declared in the schema, read from flags and the environment."""

from __future__ import annotations

import argparse
import ipaddress
import os
import re
import urllib.parse
from typing import TYPE_CHECKING, Generic, TypeVar

import result

from wisterialug_core import errors
from wisterialug_core.schema import options_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from google.protobuf import descriptor, message

ENV_PREFIX = "WISTERIALUG_"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")

_MessageT = TypeVar("_MessageT", bound="message.Message")


class SettingsReader(Generic[_MessageT]):
    """Reads settings fields from flags and environment variables."""

    def __init__(self, message_type: type[_MessageT]) -> None:
        self._type = message_type
        self._fields = list(message_type.DESCRIPTOR.fields)

    def add_flags(self, parser: argparse.ArgumentParser) -> None:
        """Adds a flag for each setting, with unit and default in its help."""
        for field in self._fields:
            option = _option(field)
            parser.add_argument(
                flag_name(field.name),
                dest=field.name,
                metavar=option.unit.upper() or "VALUE",
                help=_help_text(field, option),
            )

    def read(
        self, args: argparse.Namespace, env: Mapping[str, str]
    ) -> result.Result[_MessageT, list[errors.SettingError]]:
        """Reads all settings; a flag overrides its environment variable.

        Args:
          args: Parsed flags; a flag that was not given is None.
          env: The process environment.

        Returns:
          The settings message, or one error for each invalid setting.
        """
        settings = self._type()
        faults: list[errors.SettingError] = []
        for field in self._fields:
            option = _option(field)
            text = getattr(args, field.name, None)
            if text is None:
                text = env.get(env_name(field.name), option.default)
            fault = _assign(settings, field, option, text)
            if fault is not None:
                faults.append(fault)
        return result.Err(faults) if faults else result.Ok(settings)


def parse(
    message_type: type[_MessageT],
    program: str,
    description: str,
    argv: Sequence[str],
    env: Mapping[str, str],
) -> result.Result[_MessageT, list[errors.SettingError]]:
    """Reads the settings of a program without subcommands."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    reader = SettingsReader(message_type)
    reader.add_flags(parser)
    return reader.read(parser.parse_args(argv), env)


def flag_name(field_name: str) -> str:
    """Returns the flag of a settings field."""
    return "--" + field_name.replace("_", "-")


def env_name(field_name: str) -> str:
    """Returns the environment variable of a settings field."""
    return ENV_PREFIX + field_name.upper()


def _option(field: descriptor.FieldDescriptor) -> options_pb2.Setting:
    return field.GetOptions().Extensions[options_pb2.setting]


def _help_text(
    field: descriptor.FieldDescriptor, option: options_pb2.Setting
) -> str:
    parts = [option.help]
    if option.unit:
        parts.append(f"Unit: {option.unit}.")
    if option.choices:
        parts.append(f"One of: {', '.join(option.choices)}.")
    if option.required:
        parts.append("Required.")
    elif option.default:
        parts.append(f"Default: {option.default}.")
    parts.append(f"Environment: {env_name(field.name)}.")
    return " ".join(parts).replace("%", "%%")


def _assign(
    settings: message.Message,
    field: descriptor.FieldDescriptor,
    option: options_pb2.Setting,
    text: str,
) -> errors.SettingError | None:
    """Sets one field; returns an error if the value is invalid."""
    if field.type == field.TYPE_STRING:
        allowed = _check_text(option, text)
        value: object = text
    else:
        value, allowed = _parse_number(field, option, text)
    if allowed is not None:
        return errors.SettingError(flag_name(field.name), text, allowed)
    setattr(settings, field.name, value)
    return None


def _parse_number(
    field: descriptor.FieldDescriptor, option: options_pb2.Setting, text: str
) -> tuple[int | float, str | None]:
    """Returns the number and, if it is invalid, the allowed values."""
    whole = field.type != field.TYPE_DOUBLE
    kind = "a whole number" if whole else "a number"
    allowed = f"{kind} from {option.min:g} to {option.max:g} {option.unit}"
    try:
        number = int(text) if whole else float(text)
    except ValueError:
        return 0, allowed
    if option.min <= number <= option.max:
        return number, None
    return 0, allowed


def _check_text(option: options_pb2.Setting, text: str) -> str | None:
    """Returns the allowed values if the text is invalid, else None."""
    if not text and option.required:
        return "a value (this setting is required)"
    if option.choices and text not in option.choices:
        return "one of " + ", ".join(option.choices)
    check = _FORM_CHECKS.get(option.form)
    return check(text) if check else None


def _check_url(text: str) -> str | None:
    allowed = "http://IP:PORT"
    try:
        parts = urllib.parse.urlsplit(text)
        valid = parts.scheme == "http" and parts.port is not None
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        return allowed
    return None if valid else allowed


def _check_ip(text: str) -> str | None:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return "an IP address"
    return None


def _check_name(text: str) -> str | None:
    if NAME_PATTERN.fullmatch(text):
        return None
    return "1 to 63 letters, digits, '.', '_' or '-'"


def _check_file(text: str) -> str | None:
    return None if os.access(text, os.R_OK) else "a file that can be read"


_FORM_CHECKS = {
    options_pb2.SETTING_FORM_URL: _check_url,
    options_pb2.SETTING_FORM_IP: _check_ip,
    options_pb2.SETTING_FORM_NAME: _check_name,
    options_pb2.SETTING_FORM_FILE: _check_file,
}
