"""The burn report as a picture."""

from __future__ import annotations

import pathlib

from radishbridge.client.burn import BurnSummary, format_window
from radishbridge.records import Failure, ResultCode

SUFFIXES = (".png", ".svg", ".pdf")
BAR_GROUP_WIDTH = 0.8
WIDTH_INCHES = 10.0
HEIGHT_INCHES = 5.0


def check_picture_path(path: pathlib.Path) -> Failure | None:
    """Return what is wrong with the name of a picture's file; ``None`` where nothing is."""
    if path.suffix.lower() in SUFFIXES:
        return None
    reason = f"the file's name has to end in one of {', '.join(SUFFIXES)}"
    return Failure(ResultCode.USAGE, reason, field="--picture")


def draw_burn(summary: BurnSummary, path: pathlib.Path) -> Failure | None:
    """Draw a group of bars for each workspace and service, one bar for each window.

    :return: why the file could not be written; ``None`` after success.
    """
    # matplotlib takes longer to import than most commands run.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    labels = [f"{one.workspace}\n{one.service}" for one in summary.services]
    windows = [window.window_s for window in summary.services[0].windows] if labels else []
    width = BAR_GROUP_WIDTH / max(len(windows), 1)
    for index, window_s in enumerate(windows):
        at = [place + index * width for place in range(len(labels))]
        heights = [one.windows[index].burn for one in summary.services]
        axes.bar(at, heights, width, label=format_window(window_s))
    axes.axhline(1.0, color="black", linewidth=0.8)
    middle = BAR_GROUP_WIDTH / 2 - width / 2
    axes.set_xticks([place + middle for place in range(len(labels))], labels)
    axes.set_ylabel("burn (1 spends the error budget)")
    axes.set_title(f"Service-level burn at objective {summary.objective:g}")
    if windows:
        axes.legend(title="window")
    try:
        figure.savefig(path)
    except OSError as error:
        return Failure(ResultCode.FILE_UNREADABLE, f"{path}: {error.strerror}")
    return None
