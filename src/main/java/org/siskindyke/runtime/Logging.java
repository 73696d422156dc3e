package org.siskindyke.runtime;

import java.util.List;
import java.util.Map;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Configures logging to standard error, as text or JSON, written by a thread of its own. */
public final class Logging {
    /** Names of the environment variables that configure logging. */
    public static final List<String> ENVIRONMENT_VARIABLES = List.of("SISKINDYKE_LOG_FORMAT", "SISKINDYKE_LOG_LEVEL");

    private static final int QUEUE_LINES = 65_536;
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg%n%ex";

    private Logging() {}

    /**
     * Configures logging.
     *
     * @param environment the environment variables; defaults are text and INFO
     * @throws SiskindykeException with code {@code INVALID_SETTING} if the format or the level is unknown
     */
    public static void configure(Map<String, String> environment) {
        String format = environment.getOrDefault("SISKINDYKE_LOG_FORMAT", "text");
        String level = environment.getOrDefault("SISKINDYKE_LOG_LEVEL", "INFO");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder(context, format));
        console.setImmediateFlush(false);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_LINES);
        queue.setDiscardingThreshold(0);
        queue.addAppender(console);
        queue.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(level(level));
        root.addAppender(queue);
        context.getLogger("io.servicetalk").setLevel(Level.ERROR);
        context.getLogger("io.servicetalk.http.api.HttpExceptionMapperServiceFilter")
                .setLevel(Level.OFF);
        context.getLogger("io.netty").setLevel(Level.ERROR);
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, String format) {
        if (format.equals("json")) {
            JsonEncoder json = new JsonEncoder();
            json.setContext(context);
            json.start();
            return json;
        }
        if (!format.equals("text")) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING, "SISKINDYKE_LOG_FORMAT is '" + format + "'; use text or json");
        }
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern(PATTERN);
        text.start();
        return text;
    }

    private static Level level(String name) {
        Level level = Level.toLevel(name, null);
        if (level == null) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING,
                    "SISKINDYKE_LOG_LEVEL is '" + name + "'; use ERROR, WARN, INFO, DEBUG or OFF");
        }
        return level;
    }
}
