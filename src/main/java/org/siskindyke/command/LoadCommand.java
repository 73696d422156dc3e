package org.siskindyke.command;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.load.CallRecord;
import org.siskindyke.load.CallSender;
import org.siskindyke.load.CallerClient;
import org.siskindyke.load.LoadGenerator;
import org.siskindyke.load.LoadSettings;
import org.siskindyke.load.LoadSummary;
import org.siskindyke.runtime.http.Json;

/** Generates an open-loop load and checks each answer. */
@AutoService(Command.class)
public final class LoadCommand implements Command {
    private static final int EXIT_WRONG_ANSWERS = 3;
    private static final double MAX_CALLS_PER_SECOND = 200_000;
    private static final long MAX_SECONDS = 3_600;
    private static final int MAX_KEYS = 10_000_000;
    private static final double MAX_ZIPF_EXPONENT = 5;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "sends calls at a fixed rate to routers whose backend servers are stand-ins, and checks the answers";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .required("ports", "caller ports of the routers, separated by commas")
                .optional("host", "127.0.0.1", "IP address of the routers")
                .required("service", "service to call")
                .toggle("undivided", "sends calls without a key")
                .optional("rate", "100", "calls per second")
                .optional("seconds", "10", "duration of the load")
                .optional("keys", "1000", "number of keys")
                .optional("zipf", "1.0", "exponent of the Zipf distribution of the keys; 0 for a uniform one")
                .optional(
                        "orders-percent",
                        "0",
                        "percentage of orders: non-idempotent POST calls with an Idempotency-Key")
                .optional("resend-percent", "0", "percentage of the orders not known to have run that are retried")
                .optional("seed", "1", "seed of all random choices")
                .optional("warm-up-seconds", "0", "duration of a preceding load that is not counted")
                .optional("calls-out", "", "file to write, with one line of JSON per call");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) {
        List<CallRecord> records = Collections.synchronizedList(new ArrayList<>());
        LoadSummary summary = new LoadSummary();
        boolean keepRecords = settings.has("calls-out");
        try (CallSender client = new CallerClient(settings.text("host"), parsePorts(settings.text("ports")))) {
            long warmUpSeconds = settings.number("warm-up-seconds", 0, MAX_SECONDS);
            if (warmUpSeconds > 0) {
                new LoadGenerator(loadSettings(settings, warmUpSeconds), client, record -> {}).run();
            }
            new LoadGenerator(loadSettings(settings, settings.number("seconds", 1, MAX_SECONDS)), client, record -> {
                        summary.add(record);
                        if (keepRecords) {
                            records.add(record);
                        }
                    })
                    .run();
        }
        if (keepRecords) {
            write(Path.of(settings.text("calls-out")), records);
        }
        LoadSummary.Totals totals = summary.totals();
        out.println(Json.write(totals));
        return totals.wrongAnswers() == 0 ? 0 : EXIT_WRONG_ANSWERS;
    }

    private static LoadSettings loadSettings(Flags.Values settings, long seconds) {
        return new LoadSettings(
                settings.convert("service", ServiceName::of).value(),
                !settings.isOn("undivided"),
                settings.decimal("rate", 1, MAX_CALLS_PER_SECOND),
                seconds * MILLIS_PER_SECOND,
                (int) settings.number("keys", 1, MAX_KEYS),
                settings.decimal("zipf", 0, MAX_ZIPF_EXPONENT),
                (int) settings.number("orders-percent", 0, 100),
                (int) settings.number("resend-percent", 0, 100),
                settings.number("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                List.of());
    }

    private static List<Integer> parsePorts(String text) {
        try {
            return Arrays.stream(text.split(",")).map(Integer::valueOf).toList();
        } catch (NumberFormatException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING, "--ports is '" + text + "'; give port numbers separated by commas", e);
        }
    }

    private static void write(Path path, List<CallRecord> records) {
        try (BufferedWriter writer = Files.newBufferedWriter(path)) {
            for (CallRecord record : records) {
                writer.write(Json.write(record));
                writer.newLine();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
