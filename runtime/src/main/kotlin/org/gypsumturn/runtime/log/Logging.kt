// Logback configuration. A program logs either text or JSON lines to standard error, or events as JSON lines to
// standard output.

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

/** Format of log lines on standard error: text for people, or one JSON object a line. */
public enum class LogFormat { TEXT, JSON }

/** Keys of the identifiers in log lines. */
public object LogKeys {
    /** Key of the number that an entry gave to a request, or of its trace id. */
    public const val REQUEST: String = "request"

    public const val POOL: String = "pool"

    public const val INSTANCE: String = "instance"

    public const val JOB: String = "job"
}

private const val PATTERN = "%d{HH:mm:ss.SSS} %-5level [%thread] %logger{0} %msg %mdc%kvp%n"

/** Replaces the log configuration by one that writes to standard error. Lines below [level] are dropped. */
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
 * Replaces the log configuration by one that writes a JSON object a line to standard output. Lines pass through a
 * bounded queue. While it is full, lines are dropped and counted in [droppedLogLines], so that no thread waits for log
 * output.
 */
public fun configureEventLogging(level: Level = Level.INFO) {
    val loggerContext = LoggerFactory.getILoggerFactory() as LoggerContext
    loggerContext.reset()
    val console = ConsoleAppender<ILoggingEvent>()
    console.context = loggerContext
    console.setTarget("System.out")
    console.encoder = eventEncoder(loggerContext)
    console.start()
    val asyncAppender = DropCountingAsyncAppender()
    asyncAppender.context = loggerContext
    asyncAppender.queueSize = EVENT_QUEUE_LINES
    asyncAppender.discardingThreshold = 0
    asyncAppender.isNeverBlock = true
    asyncAppender.addAppender(console)
    asyncAppender.start()
    val root = loggerContext.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = level
    root.addAppender(asyncAppender)
}

/**
 * Writes the lines that wait and ends the logging. Called last when a process ends, which would lose them otherwise.
 * Waits for one second at most.
 */
public fun stopLogging() {
    (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
}

/** Largest number of lines that wait to be written; about what a busy node logs in one second. */
private const val EVENT_QUEUE_LINES = 4_096

/** Number of lines dropped since the start of the process because the queue was full. */
public val droppedLogLines: AtomicLong = AtomicLong()

private class DropCountingAsyncAppender : AsyncAppender() {
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
