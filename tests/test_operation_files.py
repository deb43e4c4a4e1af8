"""Alert rules and the dashboard use existing metrics; each alert is documented."""

import json
import re
from pathlib import Path

from sesameford.metrics import Metrics
from sesameford.yaml_text import load_yaml

ROOT = Path(__file__).parent.parent
METRIC = re.compile(r"sesameford_[a-z_]+")


def exported_metrics():
    return set(Metrics().registry.collectors)


def used_metrics(expressions):
    names = {name for one in expressions for name in METRIC.findall(one)}
    return {name.removesuffix("_bucket") for name in names}


def read_rules():
    text = (ROOT / "examples/operation/alerts.yaml").read_text(encoding="utf-8")
    return [rule for group in load_yaml(text)["groups"] for rule in group["rules"]]


def test_the_rules_use_metrics_that_exist_and_are_explained():
    rules = read_rules()
    assert used_metrics(rule["expr"] for rule in rules) <= exported_metrics()
    page = (ROOT / "docs/OPERATING.md").read_text(encoding="utf-8")
    explained = re.findall(r"^### (\w+)$", page, re.MULTILINE)
    assert sorted(explained) == sorted(rule["alert"] for rule in rules)


def test_the_dashboard_shows_every_metric():
    text = (ROOT / "examples/operation/dashboard.json").read_text(encoding="utf-8")
    expressions = [
        target["expr"]
        for panel in json.loads(text)["panels"]
        for target in panel["targets"]
    ]
    shown = used_metrics(expressions)
    assert shown <= exported_metrics()
    assert exported_metrics() - shown <= {"sesameford_first_attempts_total"}
