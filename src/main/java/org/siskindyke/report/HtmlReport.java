package org.siskindyke.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.siskindyke.trial.TrialSummary;

/** Writes the summaries and charts of several trials side by side into one HTML page. */
public final class HtmlReport {
    private static final String STYLE = "body{font-family:sans-serif;margin:1.5em}table{border-collapse:collapse}"
            + "td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}td:first-child{text-align:left}"
            + ".trials{display:flex;flex-wrap:wrap;gap:1.5em}";

    private HtmlReport() {}

    /**
     * Writes the report.
     *
     * @param directories output directories of the trials
     * @param file the HTML file to write; an existing file is overwritten
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code NOT_FOUND} if a directory contains no
     *     trial
     */
    public static void write(List<Path> directories, Path file) {
        List<TrialFiles> trials = directories.stream().map(TrialFiles::read).toList();
        StringBuilder page =
                new StringBuilder("<!doctype html><meta charset=\"utf-8\"><title>siskindyke trials</title>");
        page.append("<style>").append(STYLE).append("</style><h1>Trials</h1><table><tr>");
        for (String head : List.of(
                "trial",
                "mode",
                "unavailable max (ms)",
                "unavailable sum (ms)",
                "slices moved",
                "imbalance",
                "two owners (ms)",
                "more than once",
                "false not-run",
                "wrong answers",
                "served / calls",
                "p50 (ms)",
                "p99 (ms)")) {
            page.append("<th>").append(head).append("</th>");
        }
        page.append("</tr>");
        trials.forEach(t -> page.append(row(t)));
        page.append("</table><div class=\"trials\">");
        for (TrialFiles trial : trials) {
            page.append("<div>");
            new TrialCharts(trial).all().forEach(page::append);
            page.append("</div>");
        }
        page.append("</div>");
        try {
            Files.writeString(file, page.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String row(TrialFiles trial) {
        TrialSummary s = trial.summary();
        return String.format(
                "<tr><td>%s</td><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%.2f</td><td>%.0f</td><td>%d</td>"
                        + "<td>%d</td><td>%d</td><td>%d / %d</td><td>%.1f</td><td>%.1f</td></tr>",
                trial.name(),
                s.mode(),
                s.unavailableMillisMax(),
                s.unavailableMillisSum(),
                s.churnSlices(),
                s.imbalance(),
                s.doubleOwnerMillis(),
                s.atMostOnceViolations(),
                s.falseNotRun(),
                s.wrongAnswers(),
                s.served(),
                s.calls(),
                s.p50Millis(),
                s.p99Millis());
    }
}
