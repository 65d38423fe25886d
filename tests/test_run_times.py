"""
tests.test_run_times
====================

The model that predicts run times from estimates.
"""

import math
import sys

import pytest

from cyclamenshift.decisions.admission import DURATION_LIMIT
from cyclamenshift.decisions.overload.run_times import (
    MAX_PAIRS,
    MIN_STEPS_OF_SPREAD,
    RunTimeModel,
)

from .builders import MeasuredStep, measured_steps

#: The error of estimates on one deployment: the standard deviation of the
#: logarithm.
DEVIATION = 0.9
#: The steps after which predictions must be clearly better.
LEARNED_STEPS = 20
PAIR = ('checks', 'image-1')


def replay(
    model: RunTimeModel, steps: list[MeasuredStep]
) -> list[tuple[float, float]]:
    """
    Predict each step, then learn it.

    Returns the error of each prediction and of the estimate, as the absolute
    difference of the logarithms.
    """
    errors = []
    for estimate, run_times in steps:
        predicted = model.predict(*PAIR, estimate)
        actual = math.log(run_times[0])
        errors.append(
            (
                abs(math.log(predicted) - actual),
                abs(math.log(estimate) - actual),
            )
        )
        model.record(*PAIR, estimate, *run_times)
    return errors


def mean_errors(errors: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the mean error of the predictions and of the estimates."""
    predicted, estimated = zip(*errors, strict=True)
    return sum(predicted) / len(errors), sum(estimated) / len(errors)


@pytest.mark.parametrize('seed', range(20))
def test_estimates_wrong_at_random_are_corrected(seed: int) -> None:
    """A constant factor does not help against errors that are random."""
    errors = replay(RunTimeModel(), measured_steps(seed, 120, DEVIATION))
    predicted, estimated = mean_errors(errors[LEARNED_STEPS:])
    assert predicted < estimated / 2


def test_first_predictions_are_no_worse_than_estimates() -> None:
    """A line through the first few steps was worse than the estimates."""
    errors = [
        error
        for seed in range(100)
        for error in replay(RunTimeModel(), measured_steps(seed, 5, DEVIATION))
    ]
    predicted, estimated = mean_errors(errors)
    assert predicted <= estimated


@pytest.mark.parametrize('seed', range(20))
def test_estimates_that_are_the_best_prediction_are_kept(seed: int) -> None:
    """Run times that differ at random from equal estimates teach nothing."""
    steps = [
        MeasuredStep(run_times[0], (estimate,))
        for estimate, run_times in measured_steps(seed, 200, DEVIATION)
    ]
    predicted, estimated = mean_errors(replay(RunTimeModel(), steps))
    assert predicted < estimated * 1.05


def test_accurate_estimates_are_left_as_they_are() -> None:
    """Predictions of some ms more or less would only reorder the tasks."""
    model = RunTimeModel()
    errors = replay(model, measured_steps(seed=1, count=200))
    assert all(predicted == 0 for predicted, _estimated in errors)
    assert model.predict(*PAIR, 123) == 123
    assert model.predict_mean(*PAIR, 123) == 123
    assert model.predict_longest(*PAIR, 123) is None
    assert not model.revision


@pytest.mark.parametrize('factor', [0.2, 3])
def test_constant_factor_is_learned(factor: float) -> None:
    """Estimates in another unit, or of another kind of VM, are converted."""
    model = RunTimeModel()
    errors = replay(model, measured_steps(seed=1, count=100, factor=factor))
    predicted, estimated = mean_errors(errors[LEARNED_STEPS:])
    assert predicted < estimated / 4
    assert model.predict(*PAIR, 1_000) == pytest.approx(
        1_000 * factor, rel=0.25
    )


def test_new_version_of_an_image_is_learned() -> None:
    """Old run times must not outweigh those of a faster version for long."""
    model = RunTimeModel()
    replay(model, measured_steps(seed=1, count=200, factor=3))
    replay(model, measured_steps(seed=2, count=100))
    assert model.predict(*PAIR, 1_000) == pytest.approx(1_000, rel=0.25)


def test_missing_estimate_is_the_typical_run_time() -> None:
    """Tasks without an estimate were taken for tasks without work."""
    model = RunTimeModel()
    assert model.predict(*PAIR, 0) == 0
    model.record(*PAIR, 0, 900, 1_000, 1_111)
    assert model.predict(*PAIR, 0) == 1_000
    assert model.predict(*PAIR, 500) == 500
    assert model.revision


def test_mean_is_above_the_median_of_spread_run_times() -> None:
    """Demand was underestimated where a few tasks take most of the time."""
    model = RunTimeModel()
    for _number in range(50):
        model.record(*PAIR, 0, *(500,) * 7, 10_000)
    mean = (7 * 500 + 10_000) / 8
    assert model.predict(*PAIR, 0) < mean * 0.6
    assert model.predict_mean(*PAIR, 0) > model.predict(*PAIR, 0) * 1.5
    assert model.predict_mean(*PAIR, 0) < mean


def test_longest_run_time_needs_some_steps() -> None:
    """Copies by a bound from too few run times would waste capacity."""
    model = RunTimeModel()
    steps = measured_steps(seed=1, count=60, deviation=DEVIATION)
    replay(model, steps[: MIN_STEPS_OF_SPREAD - 1])
    assert model.predict_longest(*PAIR, 1_000) is None
    replay(model, steps)
    longest = model.predict_longest(*PAIR, 1_000)
    assert longest and longest >= 1_800


def test_memory_is_bounded() -> None:
    """Images named by build would fill the memory; the oldest are dropped."""
    model = RunTimeModel()
    for number in range(MAX_PAIRS):
        model.record('checks', f'image-{number}', 0, 700)
    assert model.predict('checks', 'image-0', 0) == 700
    model.record('checks', 'one more', 0, 700)
    assert len(model.pairs) == MAX_PAIRS
    assert model.predict('checks', 'image-0', 0) == 700
    assert model.predict('checks', 'image-1', 0) == 0
    for number in range(MAX_PAIRS * 2):
        model.predict('checks', f'unknown-{number}', 1)
    assert len(model.pairs) == MAX_PAIRS


@pytest.mark.parametrize('estimate', [0, 1, DURATION_LIMIT, sys.maxsize])
@pytest.mark.parametrize('actual', [0, 1, DURATION_LIMIT, sys.maxsize])
def test_odd_numbers(estimate: int, actual: int) -> None:
    """Numbers of a faulty worker or caller must not stop a scheduler."""
    model = RunTimeModel()
    for _number in range(MIN_STEPS_OF_SPREAD):
        model.record(*PAIR, estimate, actual)
    for other in (0, estimate, 1_000):
        predictions = [
            model.predict(*PAIR, other),
            model.predict_mean(*PAIR, other),
            model.predict_longest(*PAIR, other) or 0,
        ]
        assert all(
            0 <= each <= max(other, DURATION_LIMIT) for each in predictions
        )
