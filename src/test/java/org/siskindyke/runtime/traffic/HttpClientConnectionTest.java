package org.siskindyke.runtime.traffic;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests faulty responses: to another request, followed by more bytes, without a length, truncated. */
class HttpClientConnectionTest {
    private final List<String> outcomes = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private int idle;
    private ResponseMemory memory;
    private HttpClientConnection connection;
    private EmbeddedChannel channel;

    HttpClientConnectionTest() {
        open();
    }

    private void open() {
        releaseWritten();
        outcomes.clear();
        memory = new ResponseMemory(2L * HttpClientConnection.MAX_BODY_BYTES, new CallerMemory(() -> 0));
        connection = new HttpClientConnection(1, new TestDialect(), memory, observer, () -> idle++);
        channel = new EmbeddedChannel(connection.handlers());
    }

    /** Releases the requests that were written; nobody reads them. */
    @AfterTry
    void releaseWritten() {
        if (channel != null) {
            channel.releaseOutbound();
        }
    }

    private final ConnectionObserver observer = new ConnectionObserver() {
        @Override
        public void onResponseDropped(Connection connection, String namedRequestId, int status) {
            events.add("dropped " + status + " of " + namedRequestId + " for " + connection);
        }

        @Override
        public void onStrayBytes(Connection connection) {
            events.add("stray bytes after " + connection);
        }
    };

    /**
     * Responses name their request in the field {@code Id}; those with status 503 are refusals, those with the field
     * {@code Unsigned} not genuine.
     */
    private static final class TestDialect implements ResponseDialect {
        @Override
        public String answeredRequestId(List<Header> headers) {
            return Headers.firstIgnoringCase(headers, "Id");
        }

        @Override
        public Header requestIdField(String requestId) {
            return new Header("Id", requestId);
        }

        @Override
        public boolean isNotRun(int status, List<Header> headers) {
            return status == 503;
        }

        @Override
        public boolean isGenuine(int status, List<Header> headers) {
            return Headers.firstIgnoringCase(headers, "Unsigned") == null;
        }
    }

    private void send(String id) {
        send(id, "GET");
    }

    private void send(String id, String method) {
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/"),
                id,
                new HttpClientPool.ResponseListener() {
                    @Override
                    public void onResponse(int status, List<Header> headers, byte[] body, boolean endedByClose) {
                        outcomes.add((endedByClose ? "closed " : "") + status + " "
                                + new String(body, StandardCharsets.US_ASCII));
                    }

                    @Override
                    public void onLost(ResponseLoss loss, String cause) {
                        outcomes.add("lost " + loss);
                    }
                });
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    @Example
    void aCompleteResponseReturnsTheConnectionToThePool() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi");
        assertEquals(List.of("200 hi"), outcomes);
        assertEquals(1, idle);
        assertTrue(connection.isUsable());
    }

    @Example
    void aResponseToAnotherRequestIsDroppedAndTheExpectedOneDelivered() {
        send("b");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nold");
        receive("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nnew");
        assertEquals(List.of("200 new"), outcomes);
        assertEquals(0, idle);
        assertFalse(connection.isUsable());
    }

    @Example
    void aDroppedResponseIsReportedWithTheConnection() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        send("b");
        receive("HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        receive("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n");
        assertEquals(List.of("dropped 503 of a for Connection[number=1, requests=2, lastRequestId=b]"), events);
    }

    @Example
    void bytesBetweenRequestsAreReportedWithTheLastRequest() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        assertEquals(List.of("stray bytes after Connection[number=1, requests=1, lastRequestId=a]"), events);
    }

    /**
     * Guards against callers told "not run" for requests that ran: a server wrote an earlier refusal once more, without
     * an id, ahead of the response.
     */
    @Example
    void aRefusalThatNamesNoRequestIsNotTakenForTheResponse() {
        for (String status : List.of("503 Busy", "429 Many", "421 Misdirected", "408 Timeout", "400 Bad", "200 OK")) {
            open();
            send("b");
            receive("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
            assertEquals(List.of(), outcomes, status);
            receive("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nnew");
            assertEquals(List.of("200 new"), outcomes, status);
            assertFalse(connection.isUsable(), status);
        }
    }

    /** A refusal that names no request leaves open whether the request ran. */
    @Example
    void aRequestWithoutAnyResponseThatNamesItIsLostWhenTheConnectionEnds() {
        send("b");
        receive("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        channel.close();
        assertEquals(List.of("lost CONNECTION_LOST"), outcomes);
    }

    /** Guards against a second copy of a refusal that is taken for the response to the same request, sent again. */
    @Example
    void aRefusedRequestIsNotSentOnTheSameConnectionAgain() {
        send("a");
        receive("HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        assertTrue(connection.isUsable());
        assertFalse(connection.mayCarry("a"));
        assertTrue(connection.mayCarry("b"));
    }

    /** Guards against a late copy of any response that is taken for the response to the same request, sent again. */
    @Example
    void aRequestIsNotSentAgainOnAConnectionThatHasCarriedItWhateverCameOfIt() {
        for (String response : List.of("200 OK", "200 OK\r\nUnsigned: 1", "500 Error", "404 None", "503 Busy")) {
            open();
            send("a");
            receive("HTTP/1.1 " + response + "\r\nId: a\r\nContent-Length: 0\r\n\r\n");
            assertFalse(connection.mayCarry("a"), response);
        }
    }

    /** Guards against a request that, long after it was carried, counts as not carried since too many came after it. */
    @Example
    void aConnectionEndsBeforeItForgetsARequest() {
        send("first");
        receive("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n\r\n");
        for (int i = 0; connection.isUsable(); i++) {
            assertTrue(i < 1_000, "remembers without bound");
            assertFalse(connection.mayCarry("first"));
            send("r" + i);
            receive("HTTP/1.1 200 OK\r\nId: r" + i + "\r\nContent-Length: 0\r\n\r\n");
        }
        assertFalse(channel.isOpen());
    }

    /** A server that leaves out its fields once may write the response once more, whole. */
    @Example
    void aResponseThatIsNotGenuineIsDeliveredAndItsConnectionEnds() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nUnsigned: 1\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        assertEquals(List.of("200 "), outcomes);
        assertFalse(channel.isOpen());
    }

    /**
     * Guards against bytes of another response that are read as the awaited one: a copy of the response to a HEAD
     * request has a length and no body, and one of the response to a GET request has a body that HEAD does not expect.
     */
    @Example
    void aCopyWhoseEndIsUnclearLosesTheRequest() {
        String hidden = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n";
        for (List<String> methods : List.of(List.of("GET", "HEAD"), List.of("HEAD", "GET"))) {
            open();
            boolean headFirst = methods.get(0).equals("HEAD");
            String head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " + hidden.length() + "\r\n\r\n";
            String response = headFirst ? head : head + hidden;
            send("a", methods.get(0));
            receive(response);
            outcomes.clear();
            send("b", methods.get(1));
            receive(response);
            if (channel.isOpen()) {
                receive("HTTP/1.1 500 Error\r\nId: b\r\nContent-Length: 0\r\n\r\n");
            }
            assertEquals(List.of("lost BAD_RESPONSE"), outcomes, methods::toString);
        }
    }

    @Example
    void aConnectionEndsOnceItCannotRememberMoreRefusals() {
        for (int i = 0; connection.isUsable(); i++) {
            assertTrue(i < 1_000, "remembers without bound");
            send("r" + i);
            receive("HTTP/1.1 503 Busy\r\nId: r" + i + "\r\nContent-Length: 0\r\n\r\n");
        }
    }

    /** Guards against a copy of a response in pieces, of which the decoder completes the rest as the next response. */
    @Example
    void aPartOfAResponseBetweenRequestsClosesTheConnection() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi");
        receive("HTTP/1.1 503 Bu");
        assertFalse(connection.isUsable());
        assertFalse(channel.isOpen());
    }

    /** Guards against a part of a copy that arrives with a response and is completed as that to the next request. */
    @Example
    void aPartOfAResponseBehindAnotherClosesTheConnection() {
        String response = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi";
        for (int length = 1; length <= response.length(); length++) {
            open();
            send("a");
            receive(response + response.substring(0, length));
            assertEquals(List.of("200 hi"), outcomes);
            assertFalse(channel.isOpen(), length + " bytes");
            assertEquals(1, events.size(), events::toString);
            events.clear();
        }
        assertEquals(0, idle);
    }

    @Example
    void anIdleTimeoutOutOfRangeCountsAsNotAnnounced() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=99999999999999999999\r\nContent-Length: 0\r\n\r\n");
        assertEquals(0, connection.keepAliveMillis());
    }

    @Example
    void bytesAfterAResponseCloseTheConnection() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        assertEquals(List.of("200 hi"), outcomes);
        assertEquals(0, idle);
        assertFalse(connection.isUsable());
    }

    @Example
    void aTruncatedResponseIsLost() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nhi");
        channel.close();
        assertEquals(List.of("lost TRUNCATED"), outcomes);
    }

    @Example
    void aTruncatedHeaderSectionIsLost() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\n");
        channel.close();
        assertEquals(List.of("lost TRUNCATED"), outcomes);
    }

    /** A response, the method of its request and the outcome once all of it has arrived. */
    private record WholeResponse(String method, String text, String outcome) {
        private WholeResponse after(String interim) {
            return new WholeResponse(method, interim + text, outcome);
        }
    }

    private static List<WholeResponse> wholeResponses() {
        String ok = "HTTP/1.1 200 OK\r\nId: a\r\n";
        List<WholeResponse> all = new ArrayList<>(List.of(
                new WholeResponse("GET", ok + "Content-Length: 5\r\n\r\nhello", "200 hello"),
                new WholeResponse("GET", ok + "Content-Length: 0\r\nX: y\r\n\r\n", "200 "),
                new WholeResponse("GET", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "200 hi"),
                new WholeResponse(
                        "GET", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: t\r\n\r\n", "200 hi"),
                new WholeResponse("HEAD", ok + "Content-Length: 5\r\n\r\n", "200 "),
                new WholeResponse("GET", "HTTP/1.1 204 None\r\nId: a\r\nX: y\r\n\r\n", "204 "),
                new WholeResponse("GET", "HTTP/1.1 304 Same\r\nId: a\r\nContent-Length: 5\r\n\r\n", "304 ")));
        for (WholeResponse whole : List.copyOf(all)) {
            all.add(whole.after("HTTP/1.1 100 Continue\r\n\r\n"));
            all.add(whole.after("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"));
        }
        return all;
    }

    /** Guards against a response that breaks off, amid its header section too, and counts as whole. */
    @Example
    void aResponseCutAtAnyByteIsLost() {
        for (WholeResponse whole : wholeResponses()) {
            for (int length = 0; length <= whole.text().length(); length++) {
                for (boolean reset : List.of(true, false)) {
                    open();
                    send("a", whole.method());
                    receive(whole.text().substring(0, length));
                    endConnection(reset);
                    String outcome = outcomes.size() == 1 ? outcomes.get(0) : outcomes.toString();
                    boolean complete = length == whole.text().length();
                    int cut = length;
                    assertTrue(
                            complete ? outcome.equals(whole.outcome()) : outcome.startsWith("lost"),
                            () -> outcome + " for " + cut + " bytes of " + whole + (reset ? ", reset" : ""));
                }
            }
        }
    }

    /** Guards against a response of unclear length that counts as whole. */
    @Example
    void aResponseOfAmbiguousLengthIsLost() {
        for (String lengths : List.of(
                "Content-Length: 2\r\nContent-Length: 5\r\n",
                "Content-Length: 2, 5\r\n",
                "Content-Length: -2\r\n",
                "Content-Length: +2\r\n",
                "Content-Length:\r\n 2\r\n",
                "Content-Length: 2\r\n 5\r\n")) {
            open();
            send("a");
            receive("HTTP/1.1 200 OK\r\nId: a\r\n" + lengths + "\r\nhello");
            channel.close();
            assertEquals(1, outcomes.size(), lengths);
            assertTrue(outcomes.get(0).startsWith("lost"), () -> outcomes + " for " + lengths);
        }
    }

    private void endConnection(boolean reset) {
        if (reset) {
            channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        }
        channel.close();
    }

    @Example
    void aResponseWithoutALengthEndsWithItsConnection() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
        channel.close();
        assertEquals(List.of("closed 200 whole"), outcomes);
        assertFalse(connection.isUsable());
    }

    @Example
    void aResponseWithoutALengthIsLostWhenItsConnectionIsReset() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart");
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.close();
        assertEquals(List.of("lost TRUNCATED"), outcomes);
    }

    /** Feeds a piece again and again until the connection is closed; returns whether that came within the limit. */
    private boolean closesWithin(int limitBytes, String piece) {
        for (int received = 0; received < limitBytes && channel.isOpen(); received += piece.length()) {
            receive(piece);
        }
        assertEquals(0, memory.usedBytes(), "memory is not released");
        return !channel.isOpen();
    }

    /** Guards against endless bodies that are collected until the heap is full. */
    @Example
    void aBodyWithoutEndIsCutAtTheLimit() {
        for (String head : List.of(
                "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 99999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 99999999999\r\n\r\n")) {
            open();
            send("a");
            receive(head);
            assertTrue(closesWithin(2 * HttpClientConnection.MAX_BODY_BYTES, "x".repeat(16_384)), head);
            assertEquals(List.of("lost BAD_RESPONSE"), outcomes);
        }
    }

    /** Guards against endless bodies in small chunks, which cost far more time and memory than their bytes. */
    @Example
    void aBodyOfSmallChunksWithoutEndIsCutAtTheLimit() {
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        assertTrue(closesWithin(1_000_000, "1\r\nx\r\n".repeat(4_096)));
        assertEquals(List.of("lost BAD_RESPONSE"), outcomes);
    }

    /** Guards against interim responses without end, and against further ones that name other requests. */
    @Example
    void responsesWithoutEndThatAreNotTheAwaitedOneAreCut() {
        for (String piece : List.of(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n")) {
            open();
            send("a");
            assertTrue(closesWithin(1_000_000, piece), piece);
            assertEquals(List.of("lost BAD_RESPONSE"), outcomes);
        }
    }

    @Example
    void aHeaderSectionWithoutEndIsCut() {
        send("a");
        receive("HTTP/1.1 200 OK\r\n");
        assertTrue(closesWithin(1_000_000, "Name: value\r\n"));
        assertEquals(List.of("lost BAD_RESPONSE"), outcomes);
    }

    /**
     * Whatever a server writes before the response to a request, and in whatever pieces, the request ends with that
     * response or as lost.
     */
    @Property(tries = 3_000, seed = "81")
    void oddBytesBeforeAResponseNeverBecomeTheResponse(@ForAll long seed) {
        Random random = new Random(seed);
        open();
        send("b");
        for (int i = random.nextInt(4); i > 0 && channel.isOpen(); i--) {
            receiveInPieces(oddResponse(random), random);
        }
        if (channel.isOpen()) {
            receive("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nnew");
        }
        channel.close();
        assertEquals(1, outcomes.size());
        assertTrue(outcomes.get(0).equals("200 new") || outcomes.get(0).startsWith("lost"), outcomes::toString);
        assertEquals(0, memory.usedBytes());
    }

    private void receiveInPieces(String text, Random random) {
        int cut = random.nextInt(text.length() + 1);
        receive(text.substring(0, cut));
        if (channel.isOpen()) {
            receive(text.substring(cut));
        }
    }

    private static String oddResponse(Random random) {
        String status = List.of("503 Busy", "421 Other", "200 OK", "99999 Odd", "-1 Odd", "103 Early")
                .get(random.nextInt(6));
        String id = List.of("", "Id: a\r\n", "Id:\r\n", "Id: bb\r\n").get(random.nextInt(4));
        String length =
                List.of("0", "3", "-3", "1e9", "99999999999999999999", "").get(random.nextInt(6));
        String framing = random.nextBoolean() ? "Content-Length: " + length : "Transfer-Encoding: chunked";
        return "HTTP/1.1 " + status + "\r\n" + id + framing + "\r\n\r\n" + (random.nextBoolean() ? "old" : "");
    }

    @Example
    void aMalformedResponseLosesTheRequest() {
        send("a");
        receive("nonsense\r\n\r\n");
        assertEquals(List.of("lost BAD_RESPONSE"), outcomes);
    }

    /**
     * Guards against the status of one response with the fields of the next one: a response that broke off amid its
     * header section, on a connection that went on, was taken for the answer to the next request.
     */
    @Example
    void aBrokenOffCopyIsNotCompletedByTheAwaitedResponse() {
        String copy = "HTTP/1.1 500 Failed\r\nLimit: 5\r\nId: a\r\nSignature: sa\r\nContent-Length: 3\r\n\r\nold";
        String awaited = "HTTP/1.1 200 OK\r\nId: b\r\nSignature: sb\r\nContent-Length: 3\r\n\r\nnew";
        List<String> wrong = new ArrayList<>();
        for (int length = 1; length < copy.length(); length++) {
            open();
            send("b");
            receive(copy.substring(0, length));
            receive(awaited);
            if (outcomes.stream().anyMatch(outcome -> !outcome.startsWith("lost"))) {
                wrong.add(copy.substring(0, length) + " -> " + outcomes);
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Guards against a body of which a part is another response, as its length is right. */
    @Example
    void aResponseThatBreaksOffAndIsWrittenOnceMoreIsLostWhereverItBreaksOff() {
        String body = "0123456789".repeat(20);
        String whole = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 200\r\n\r\n" + body;
        int headLength = whole.length() - body.length();
        // From 18 missing bytes on, the status line of the second response is in the body of the first.
        for (int missing = 18; missing <= body.length(); missing++) {
            open();
            send("a");
            receive(whole.substring(0, headLength + body.length() - missing) + whole);
            assertEquals(List.of("lost BAD_RESPONSE"), outcomes, missing + " bytes missing");
            assertFalse(connection.isUsable());
        }
    }

    /** Guards against a body that hangs the traffic loop, since it looks like the start of a header section. */
    @Example
    void aBodyThatNearlyHoldsAnotherResponseIsDeliveredWithoutDelay() {
        for (String body : List.of(
                "HTTP/1.1 200 OK\r\nnote:" + " ".repeat(4_000),
                "HTTP/1.1 200 OK\r\n".repeat(200_000),
                "HTTP/1.1 200 ".repeat(200_000),
                "HTTP/1.1 200 OK\r\n" + "a:b\r\n".repeat(800_000))) {
            open();
            send("a");
            receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " + body.length() + "\r\n\r\n");
            // Far more than one pass over the body takes, and far less than a number of steps that is its square.
            assertTimeoutPreemptively(Duration.ofSeconds(20), () -> receive(body));
            assertEquals(List.of("200 " + body), outcomes);
        }
    }

    /** Guards against folded lines that hang the traffic loop, since each copies the field that it continues. */
    @Example
    void aResponseWithManyFoldedLinesIsLostWithoutDelay() {
        String start = "HTTP/1.1 200 OK\r\nId: a\r\nNote: x\r\n";
        open();
        send("a");
        receive(start + " y\r\n".repeat(200) + "Content-Length: 2\r\n\r\nok");
        assertEquals(List.of("200 ok"), outcomes);
        for (int i = 0; i < 20; i++) {
            open();
            send("a");
            assertTimeoutPreemptively(Duration.ofSeconds(20), () -> receive(start + " \r\n".repeat(60_000)));
            assertEquals(List.of("lost BAD_RESPONSE"), outcomes);
        }
    }

    @Example
    void aBodyThatQuotesAnotherResponseIsDelivered() {
        String quoted = "HTTP/1.1 200 OK\r\nId: b\r\n\r\nquoted";
        send("a");
        receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " + quoted.length() + "\r\n\r\n" + quoted);
        assertEquals(List.of("200 " + quoted), outcomes);
        assertTrue(connection.isUsable());
    }
}
