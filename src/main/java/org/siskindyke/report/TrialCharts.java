package org.siskindyke.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.siskindyke.load.CallRecord;
import org.siskindyke.standin.Ledger;

/** Draws charts of one trial over time, as SVG. */
final class TrialCharts {
    private static final int WIDTH_PIXELS = 760;
    private static final int HEIGHT_PIXELS = 300;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_99 = 99;

    private final TrialFiles trial;
    private final long firstNanos;

    TrialCharts(TrialFiles trial) {
        this.trial = trial;
        this.firstNanos = trial.firstNanos();
    }

    List<String> all() {
        return List.of(outcomes(), latency(), loadPerTarget());
    }

    private String outcomes() {
        XYChart chart = chart("Calls by outcome", "calls per second");
        Map<String, TreeMap<Integer, Double>> series = new TreeMap<>();
        for (CallRecord call : trial.calls()) {
            String name = call.isServed() ? "served" : call.verdict() == null ? "no answer" : call.verdict();
            series.computeIfAbsent(name, n -> new TreeMap<>()).merge(secondOf(call.startNanos()), 1.0, Double::sum);
        }
        int lastSecond = trial.calls().stream()
                .mapToInt(c -> secondOf(c.startNanos()))
                .max()
                .orElse(0);
        series.forEach((name, values) -> add(chart, name, fillMissingSeconds(values, lastSecond)));
        return svg(chart);
    }

    private String latency() {
        XYChart chart = chart("Time to an answer", "milliseconds");
        chart.getStyler().setYAxisLogarithmic(true);
        Map<Integer, Histogram> bySecond = new TreeMap<>();
        for (CallRecord call : trial.calls()) {
            if (call.isServed()) {
                long micros = Math.max(1, (call.endNanos() - call.startNanos()) / NANOS_PER_MICRO);
                bySecond.computeIfAbsent(secondOf(call.startNanos()), s -> new Histogram(2))
                        .recordValue(micros);
            }
        }
        TreeMap<Integer, Double> median = new TreeMap<>();
        TreeMap<Integer, Double> percentile99 = new TreeMap<>();
        bySecond.forEach((second, histogram) -> {
            median.put(second, histogram.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI);
            percentile99.put(second, histogram.getValueAtPercentile(PERCENTILE_99) / MICROS_PER_MILLI);
        });
        add(chart, "median", median);
        add(chart, "99th percentile", percentile99);
        return svg(chart);
    }

    private String loadPerTarget() {
        XYChart chart = chart("Calls run by each backend server", "calls per second");
        Map<String, TreeMap<Integer, Double>> series = new TreeMap<>();
        for (Ledger.Entry entry : trial.executions()) {
            series.computeIfAbsent(entry.target(), t -> new TreeMap<>())
                    .merge(secondOf(entry.beginNanos()), 1.0, Double::sum);
        }
        int lastSecond = trial.calls().stream()
                .mapToInt(c -> secondOf(c.startNanos()))
                .max()
                .orElse(0);
        series.forEach((name, values) -> add(chart, name, fillMissingSeconds(values, lastSecond)));
        return svg(chart);
    }

    private int secondOf(long nanos) {
        return (int) ((nanos - firstNanos) / NANOS_PER_SECOND);
    }

    private static TreeMap<Integer, Double> fillMissingSeconds(TreeMap<Integer, Double> values, int lastSecond) {
        for (int second = 0; second <= lastSecond; second++) {
            values.putIfAbsent(second, 0.0);
        }
        return values;
    }

    private XYChart chart(String title, String unit) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(trial.name() + " (" + trial.summary().mode() + "): " + title)
                .xAxisTitle("seconds since the first call")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        return chart;
    }

    private static void add(XYChart chart, String name, TreeMap<Integer, Double> values) {
        if (!values.isEmpty()) {
            chart.addSeries(name, new ArrayList<>(values.keySet()), new ArrayList<>(values.values()))
                    .setMarker(SeriesMarkers.NONE);
        }
    }

    private static String svg(XYChart chart) {
        try (ByteArrayOutputStream bytes = new ByteArrayOutputStream()) {
            VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            String text = bytes.toString(StandardCharsets.UTF_8);
            return text.substring(text.indexOf("<svg"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
