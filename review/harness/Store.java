import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as routers use it: rows, transactions under conditions, and watches. */
final class Store {
    private static final Pattern ENTRY = Pattern.compile("\\{([^{}]*)\\}");
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\d+))");

    /** A row; its value is base64 text, null where the row was dropped. */
    record Row(String table, String key, String value, long version) {}

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version;

    Store(String host, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/rows-tx", this::transact);
        server.createContext("/rows-get", this::get);
        server.createContext("/rows-feed", this::feed);
        server.start();
    }

    void close() {
        server.stop(0);
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String text) {
        version++;
        write(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Writes rows of an earlier run, in the order of their versions there. */
    synchronized void load(List<Row> rows) {
        for (Row row : rows) {
            version++;
            write(row.table(), row.key(), row.value());
        }
    }

    /** Returns the rows of a table that exist. */
    synchronized List<Row> rows(String table) {
        return table(table).values().stream().filter(row -> row.value() != null).toList();
    }

    int rowCount(String table) {
        return rows(table).size();
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private void write(String table, String key, String value) {
        table(table).put(key, new Row(table, key, value, version));
    }

    /** Reads the flat objects in the list of a name; the keys and values of rows contain no brackets. */
    private static List<Map<String, String>> entries(String body, String name) {
        int start = body.indexOf("\"" + name + "\":[");
        if (start < 0) {
            return List.of();
        }
        List<Map<String, String>> entries = new ArrayList<>();
        Matcher entry = ENTRY.matcher(body.substring(start, body.indexOf(']', start)));
        while (entry.find()) {
            Map<String, String> fields = new LinkedHashMap<>();
            Matcher field = FIELD.matcher(entry.group(1));
            while (field.find()) {
                fields.put(field.group(1), field.group(2) == null ? field.group(3) : field.group(2));
            }
            entries.add(fields);
        }
        return entries;
    }

    private void transact(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        int status = 200;
        StringBuilder answer = new StringBuilder();
        synchronized (this) {
            List<Map<String, String>> conditions = entries(body, "precondition");
            for (Map<String, String> condition : conditions) {
                Row row = table(condition.get("table")).get(condition.get("key"));
                long present = row == null || row.value() == null ? 0 : row.version();
                status = present == Long.parseLong(condition.get("ver")) ? status : 412;
            }
            if (status == 200) {
                version++;
                for (Map<String, String> write : entries(body, "writes")) {
                    write(write.get("table"), write.get("key"), write.get("value"));
                }
                for (Map<String, String> drop : entries(body, "remove")) {
                    write(drop.get("table"), drop.get("key"), null);
                }
                notifyAll();
                answer.append("{");
            } else {
                answer.append("{\"rows\":[");
                List<Row> present = new ArrayList<>();
                for (Map<String, String> condition : conditions) {
                    Row row = table(condition.get("table")).get(condition.get("key"));
                    if (row != null && row.value() != null) {
                        present.add(row);
                    }
                }
                append(answer, present);
                answer.append("],");
            }
            end(answer);
        }
        respond(call, status, answer);
    }

    private static void append(StringBuilder answer, List<Row> rows) {
        String comma = "";
        for (Row row : rows) {
            answer.append(comma).append("{\"table\":\"").append(row.table()).append("\",\"part\":\"\",\"key\":\"");
            answer.append(row.key()).append("\",\"ver\":").append(row.version());
            answer.append(row.value() == null ? ",\"tombstone\":true}" : ",\"value\":\"" + row.value() + "\"}");
            comma = ",";
        }
    }

    private void end(StringBuilder answer) {
        answer.append("\"ver\":").append(version).append(",\"now_ms\":").append(System.nanoTime() / 1_000_000).append('}');
    }

    private static Map<String, String> query(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        for (String part : call.getRequestURI().getRawQuery().split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private void get(HttpExchange call) throws IOException {
        Map<String, String> query = query(call);
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        StringBuilder answer = new StringBuilder("{\"rows\":[");
        synchronized (this) {
            String to = query.get("target");
            List<Row> found = table(query.get("table")).tailMap(query.getOrDefault("from", ""), true).values().stream()
                    .filter(row -> row.value() != null && (to == null || row.key().compareTo(to) < 0))
                    .limit(limit + 1L)
                    .toList();
            append(answer, found.subList(0, Math.min(limit, found.size())));
            answer.append("],\"has_more\":").append(found.size() > limit).append(',');
            end(answer);
        }
        respond(call, 200, answer);
    }

    private void feed(HttpExchange call) throws IOException {
        Map<String, String> query = query(call);
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        StringBuilder answer = new StringBuilder("{\"rows\":[");
        synchronized (this) {
            List<Row> changed = changed(query.get("table"), after);
            for (long left = endNanos - System.nanoTime(); changed.isEmpty() && left > 0; left = endNanos - System.nanoTime()) {
                try {
                    wait(Math.max(1, left / 1_000_000));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                changed = changed(query.get("table"), after);
            }
            append(answer, changed);
            answer.append("],");
            end(answer);
        }
        respond(call, 200, answer);
    }

    private List<Row> changed(String table, long after) {
        return table(table).values().stream()
                .filter(row -> row.version() > after)
                .sorted((a, b) -> Long.compare(a.version(), b.version()))
                .toList();
    }

    private static void respond(HttpExchange call, int status, StringBuilder answer) throws IOException {
        byte[] body = answer.toString().getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, body.length);
        try (var out = call.getResponseBody()) {
            out.write(body);
        }
    }
}
