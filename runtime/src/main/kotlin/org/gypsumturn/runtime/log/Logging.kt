// Set-up of Logback: text for people or one JSON object a line for programs, on the standard error stream; and events,
// one JSON object a line, on the standard output.

package org.gypsumturn.runtime.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong

/** Form of the log. */
public enum class LogFormat { TEXT, JSON }

/** Names of the identifiers that log lines carry. */
public object LogKeys {
    /** Number of the request at its entry, or its trace id. */
    public const val REQUEST: String = "request"

    /** Pool that the line is about. */
    public const val POOL: String = "pool"

    /** Instance that the line is about. */
    public const val INSTANCE: String = "instance"

    /** Job that the line is about. */
    public const val JOB: String = "job"
}

private const val PATTERN = "%d{HH:mm:ss.SSS} %-5level [%thread] %logger{0} %msg %mdc%kvp%n"

/** Replaces the log's configuration. Lines below [level] are dropped. */
public fun configureLogging(format: LogFormat, level: Level = Level.INFO) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.setTarget("System.err")
    appender.encoder = encoder(format, context)
    appender.start()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = level
    root.addAppender(appender)
}

/**
 * Replaces the log's configuration by one JSON object a line on the standard output. Lines pass through a bounded
 * ring; where it is full they are dropped, so that no thread waits for its log.
 */
public fun configureEventLogging(level: Level = Level.INFO) {
    val loggerContext = LoggerFactory.getILoggerFactory() as LoggerContext
    loggerContext.reset()
    val console = ConsoleAppender<ILoggingEvent>()
    console.context = loggerContext
    console.setTarget("System.out")
    console.encoder = eventEncoder(loggerContext)
    console.start()
    val ring = CountingAsyncAppender()
    ring.context = loggerContext
    ring.queueSize = EVENT_RING
    ring.discardingThreshold = 0
    ring.isNeverBlock = true
    ring.addAppender(console)
    ring.start()
    val root = loggerContext.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = level
    root.addAppender(ring)
}

/** Lines that wait to be written: a second of a busy node. */
private const val EVENT_RING = 4_096

/** Lines that were dropped since the start, because the ring was full. */
public val droppedLogLines: AtomicLong = AtomicLong()

private class CountingAsyncAppender : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) droppedLogLines.incrementAndGet()
        super.append(event)
    }
}

private fun eventEncoder(loggerContext: LoggerContext) = JsonEncoder().apply {
    context = loggerContext
    setWithSequenceNumber(false)
    setWithNanoseconds(false)
    setWithThreadName(false)
    setWithLoggerName(false)
    setWithContext(false)
    setWithMDC(false)
    start()
}

private fun encoder(format: LogFormat, loggerContext: LoggerContext): Encoder<ILoggingEvent> = when (format) {
    LogFormat.JSON ->
        JsonEncoder().apply {
            context = loggerContext
            start()
        }

    LogFormat.TEXT ->
        PatternLayoutEncoder().apply {
            context = loggerContext
            pattern = PATTERN
            start()
        }
}
