// Set-up of Logback: text for people or one JSON object a line for programs, on the standard error stream.

package org.gypsumturn.runtime.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory

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
