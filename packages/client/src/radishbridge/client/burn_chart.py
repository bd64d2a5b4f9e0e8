"""Draws the burn report as a bar chart."""

from __future__ import annotations

import pathlib

from radishbridge.client.burn import BurnSummary, format_window
from radishbridge.records import Failure, ResultCode

PICTURE_SUFFIXES = (".png", ".svg", ".pdf")
BAR_GROUP_WIDTH = 0.8
FIGURE_WIDTH_INCHES = 10.0
FIGURE_HEIGHT_INCHES = 5.0


def check_picture_path(path: pathlib.Path) -> Failure | None:
    """Return a failure if the suffix of the picture's file is not supported, else ``None``."""
    if path.suffix.lower() in PICTURE_SUFFIXES:
        return None
    reason = f"the file's name has to end in one of {', '.join(PICTURE_SUFFIXES)}"
    return Failure(ResultCode.USAGE, reason, field="--picture")


def draw_burn(summary: BurnSummary, path: pathlib.Path) -> Failure | None:
    """Draw a group of bars for each workspace and service, with one bar for each window.

    :return: a failure if the file could not be written, else ``None``.
    """
    # Imported here because importing matplotlib takes longer than most commands run.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(FIGURE_WIDTH_INCHES, FIGURE_HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    labels = [f"{service.workspace}\n{service.service}" for service in summary.services]
    windows = [window.window_s for window in summary.services[0].windows] if labels else []
    width = BAR_GROUP_WIDTH / max(len(windows), 1)
    for index, window_s in enumerate(windows):
        positions = [group + index * width for group in range(len(labels))]
        heights = [service.windows[index].burn for service in summary.services]
        axes.bar(positions, heights, width, label=format_window(window_s))
    axes.axhline(1.0, color="black", linewidth=0.8)
    label_offset = BAR_GROUP_WIDTH / 2 - width / 2
    axes.set_xticks([group + label_offset for group in range(len(labels))], labels)
    axes.set_ylabel("burn (1 spends the error budget)")
    axes.set_title(f"Service-level burn at objective {summary.objective:g}")
    if windows:
        axes.legend(title="window")
    try:
        figure.savefig(path)
    except OSError as error:
        return Failure(ResultCode.FILE_UNREADABLE, f"{path}: {error.strerror}")
    return None
