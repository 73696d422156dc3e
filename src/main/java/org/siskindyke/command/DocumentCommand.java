package org.siskindyke.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.http.Json;

/** Checks, puts and shows service documents. */
@AutoService(Command.class)
public final class DocumentCommand implements Command {
    @Override
    public String name() {
        return "document";
    }

    @Override
    public String summary() {
        return "checks, puts, gets and lists service documents, and shows their history";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .operands("check FILE | put FILE | get SERVICE | list | history SERVICE")
                .optional("admin", "127.0.0.1:8082", "address:admin-port of any router")
                .optional("revision", "0", "for put: revision that the edit is based on; 0 for a new document")
                .optional("editor", System.getProperty("user.name", "unknown"), "for put: name recorded as the editor");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws IOException {
        List<String> operands = settings.operands();
        String action = operands.isEmpty() ? "" : operands.get(0);
        switch (action) {
            case "check" -> {
                ServiceDocument document = read(operand(operands, "FILE"));
                out.println("ok: service " + document.service() + ", "
                        + document.targets().size() + " targets");
            }
            case "put" -> put(settings, read(operand(operands, "FILE")), out);
            case "get" ->
                withClient(settings, client -> {
                    DocumentRow row = client.document(operand(operands, "SERVICE"));
                    out.println(Json.write(row));
                });
            case "list" -> withClient(settings, client -> client.documents().forEach(row -> print(row, out)));
            case "history" ->
                withClient(
                        settings,
                        client -> client.history(operand(operands, "SERVICE")).forEach(row -> print(row, out)));
            default ->
                throw new SiskindykeException(
                        ErrorCode.INVALID_SETTING,
                        "unknown action '" + action + "'; use document check, put, get, list or history");
        }
        return 0;
    }

    private static void put(Flags.Values settings, ServiceDocument document, PrintStream out) {
        long revision = settings.number("revision", 0, Long.MAX_VALUE);
        withClient(settings, client -> {
            DocumentRow row = client.put(document, revision, settings.text("editor"));
            out.println("accepted: service " + document.service() + " revision " + row.number());
        });
    }

    private static void print(DocumentRow row, PrintStream out) {
        out.println(row.document().service() + " revision " + row.number() + " team "
                + row.document().team() + " editor " + row.editor() + " accepted "
                + Instant.ofEpochMilli(row.acceptedMillis()));
    }

    private interface Action {
        void run(AdminClient client);
    }

    private static void withClient(Flags.Values settings, Action action) {
        Flags.Endpoint admin = settings.endpoint("admin");
        try (AdminClient client = new AdminClient(admin.host(), admin.port())) {
            action.run(client);
        }
    }

    private static ServiceDocument read(String file) throws IOException {
        Path path = Path.of(file);
        if (!Files.isReadable(path)) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING, "cannot read '" + file + "'; give a readable file");
        }
        return DocumentReader.read(Files.readString(path));
    }

    private static String operand(List<String> operands, String operandName) {
        if (operands.size() != 2) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING, "document " + operands.get(0) + " takes one operand: " + operandName);
        }
        return operands.get(1);
    }
}
