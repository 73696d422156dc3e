package org.siskindyke;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A server on loopback that writes whatever bytes a test wants to the connection of each request. */
public final class RawHttpServer implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("(?i)(?:x-siskindyke-request-|siskindyke-call-)?id: *(\\S+)");
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final ServerSocket listener;
    private final Supplier<Script> scripts;

    /** A request, without its body. */
    public record Request(String method, String path, String id) {}

    /** Answers the requests on one connection. */
    public interface Script {
        /** Returns the bytes to write after a request was read, in pieces, as characters of ISO 8859-1. */
        List<String> respond(Request request);
    }

    /** A script that needs the id of a request only, and writes its bytes at once. */
    public interface TextScript {
        /** Returns the bytes to write after a request with the given id was read, as above. */
        String respond(String requestId);
    }

    /** Starts a server as the constructor does, with scripts of the simpler form. */
    public static RawHttpServer ofTexts(Supplier<TextScript> scripts) throws IOException {
        return new RawHttpServer(() -> {
            TextScript script = scripts.get();
            return request -> List.of(script.respond(request.id()));
        });
    }

    /** Starts a server that takes a new script for each connection. */
    public RawHttpServer(Supplier<Script> scripts) throws IOException {
        this.scripts = scripts;
        this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "raw-http-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has closed the server.
        }
    }

    private void serve(Socket socket) {
        Script script = scripts.get();
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            socket.setTcpNoDelay(true);
            for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                for (String piece : script.respond(request)) {
                    out.write(piece.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    /** Reads a request; returns null at the end of the connection. */
    private static Request readRequest(BufferedReader in) throws IOException {
        String id = "none";
        int length = 0;
        String line = in.readLine();
        if (line == null) {
            return null;
        }
        String[] requestLine = line.split(" ");
        for (; line != null && !line.isEmpty(); line = in.readLine()) {
            Matcher idField = ID.matcher(line);
            Matcher lengthField = LENGTH.matcher(line);
            id = idField.matches() ? idField.group(1) : id;
            length = lengthField.matches() ? Integer.parseInt(lengthField.group(1)) : length;
        }
        for (int i = 0; i < length; i++) {
            in.read();
        }
        return new Request(requestLine[0], requestLine[1], id);
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
