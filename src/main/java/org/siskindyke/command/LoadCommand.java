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

/** Makes an open-loop load and checks each answer. */
@AutoService(Command.class)
public final class LoadCommand implements Command {
    private static final int EXIT_WRONG_ANSWERS = 3;
    private static final double MAX_RATE = 200_000;
    private static final long MAX_SECONDS = 3_600;
    private static final int MAX_KEYS = 10_000_000;
    private static final double MAX_EXPONENT = 5;
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
                .required("ports", "callers' ports of the routers, separated by commas")
                .optional("host", "127.0.0.1", "address of the routers, an IP number")
                .required("service", "service to call")
                .toggle("undivided", "sends calls without a key")
                .optional("rate", "100", "calls each second")
                .optional("seconds", "10", "how long")
                .optional("keys", "1000", "number of keys")
                .optional("zipf", "1.0", "skew of the keys; 0 for none")
                .optional("orders-percent", "0", "share of calls that are not idempotent")
                .optional("resend-percent", "0", "share of orders without a clear outcome that are sent again")
                .optional("seed", "1", "seed of all random choices")
                .optional("warm-up-seconds", "0", "sends as long before without counting")
                .optional("calls-out", "", "file that gets a JSON line for each call");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) {
        List<CallRecord> records = Collections.synchronizedList(new ArrayList<>());
        LoadSummary summary = new LoadSummary();
        boolean keep = settings.has("calls-out");
        try (CallSender client = new CallerClient(settings.text("host"), ports(settings.text("ports")))) {
            long warmUpSeconds = settings.number("warm-up-seconds", 0, MAX_SECONDS);
            if (warmUpSeconds > 0) {
                new LoadGenerator(load(settings, warmUpSeconds), client, record -> {}).run();
            }
            new LoadGenerator(load(settings, settings.number("seconds", 1, MAX_SECONDS)), client, record -> {
                        summary.add(record);
                        if (keep) {
                            records.add(record);
                        }
                    })
                    .run();
        }
        if (keep) {
            write(Path.of(settings.text("calls-out")), records);
        }
        LoadSummary.Totals totals = summary.totals();
        out.println(Json.write(totals));
        return totals.wrongAnswers() == 0 ? 0 : EXIT_WRONG_ANSWERS;
    }

    private static LoadSettings load(Flags.Values settings, long seconds) {
        return new LoadSettings(
                settings.convert("service", ServiceName::of).value(),
                !settings.isOn("undivided"),
                settings.decimal("rate", 1, MAX_RATE),
                seconds * MILLIS_PER_SECOND,
                (int) settings.number("keys", 1, MAX_KEYS),
                settings.decimal("zipf", 0, MAX_EXPONENT),
                (int) settings.number("orders-percent", 0, 100),
                (int) settings.number("resend-percent", 0, 100),
                settings.number("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                List.of());
    }

    private static List<Integer> ports(String text) {
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
