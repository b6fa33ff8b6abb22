"""Steps for experiment results and settings."""

from __future__ import annotations

from behave import given, then, when

from limedyke_lab.experiments import settings_file
from limedyke_lab.experiments.comparison import compare, load_earlier
from limedyke_lab.experiments.result import ExperimentResult, ResultWriter
from limedyke_lab.experiments.run import count_violations, describe_measures, run_experiment
from limedyke_lab.experiments.settings_file import bench_settings, load_experiment

SETTINGS = {
    "replica-reads": settings_file.ReplicaReadsSettings,
    "failover": settings_file.FailoverSettings,
    "noisy-tenant": settings_file.NoisyTenantSettings,
    "drain": settings_file.DrainSettings,
    "config-storm": settings_file.ConfigStormSettings,
    "overhead": settings_file.OverheadSettings,
}


def result(experiment, variant, values):
    return ExperimentResult(experiment, "ostmark", variant, 1, {}, values)


@given('experiments: a result of variant "{variant}" with {name} {value:d}')
def given_result(context, variant, name, value):
    context.result = result("failover", variant, {name: value})


@then("experiments: the run counts {count:d} violations")
def then_violations(context, count):
    assert count_violations([context.result]) == count


@given("experiments: it was written to a file")
def given_written(context):
    context.file = context.folder / "earlier.jsonl"
    ResultWriter(context.file).add(context.result)


@when("experiments: a later run has {name} {value:d}")
def when_later(context, name, value):
    later = result("failover", context.result.variant, {name: value})
    context.comparison = compare([later], load_earlier(context.file))


@then('experiments: the comparison says "{line}"')
def then_comparison(context, line):
    assert context.comparison == [line], context.comparison


@when('experiments: the experiment "{name}" is run')
def when_experiment_run(context, name):
    context.code = run_experiment(name, "", "")


@then("experiments: the exit code is {code:d}")
def then_code(context, code):
    assert context.code == code, context.code


@given('experiments: a result of the experiment "{name}" with its measures')
def given_measures(context, name):
    values = {"replica_read_share": 0.95, "of_ceiling": 0.99, "stale_reads": 0, "reads": 7}
    context.result = result(name, "limedyke lag=20ms", values)


@then('experiments: the measures are "{line}"')
def then_measures(context, line):
    assert describe_measures([context.result]) == [line], describe_measures([context.result])


@then("experiments: the benchmark settings of {name} are valid and differ from its own")
def then_shorter(context, name):
    context.own = load_experiment(SETTINGS[name], name)
    with bench_settings():
        assert load_experiment(SETTINGS[name], name) != context.own


@then("experiments: the settings of {name} outside the benchmark are its own")
def then_own(context, name):
    assert load_experiment(SETTINGS[name], name) == context.own
