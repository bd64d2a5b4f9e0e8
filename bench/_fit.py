"""Linear regression of measured points."""

from __future__ import annotations

import statistics
import typing as t

import msgspec


class Point(msgspec.Struct, kw_only=True):
    """A measured value of a quantity at a value of its driver."""

    driver: float
    value: float


class Slope(msgspec.Struct, kw_only=True):
    """A fitted line through the points of one quantity.

    :param role: part of the system that was measured.
    :param quantity: measured quantity with its unit.
    :param driver: quantity that was varied.
    :param slope: growth of the quantity for each unit of the driver.
    :param intercept: fitted value at driver 0.
    :param residual: largest deviation of a point from the line, as a fraction of the largest value.
    """

    role: str
    quantity: str
    driver: str
    slope: float
    intercept: float
    residual: float
    points: list[Point]

    def value_at(self, driver: float) -> float:
        """Return the fitted value at a value of the driver, at least 0."""
        return max(0.0, self.intercept + self.slope * driver)


def fit_line(
    role: str, quantity: str, driver: str, values: t.Iterable[tuple[float, float]]
) -> Slope:
    """Fit a line through at least four points."""
    points = [Point(driver=x, value=y) for x, y in values]
    line = statistics.linear_regression(
        [point.driver for point in points], [point.value for point in points]
    )
    largest = max(abs(point.value) for point in points) or 1.0
    deviations = (
        abs(line.intercept + line.slope * sample.driver - sample.value) for sample in points
    )
    return Slope(
        role=role,
        quantity=quantity,
        driver=driver,
        slope=line.slope,
        intercept=line.intercept,
        residual=max(deviations) / largest,
        points=points,
    )
