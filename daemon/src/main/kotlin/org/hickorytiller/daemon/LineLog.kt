/**
 * Writes log lines to standard output from a separate thread. The event loop never waits for the output: lines that
 * do not fit into the queue are dropped and counted.
 */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.Appender
import io.github.oshai.kotlinlogging.DirectLoggerFactory
import io.github.oshai.kotlinlogging.KLoggingEvent
import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import io.github.oshai.kotlinlogging.Level
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/** Appends `key=value` lines to [out], at most [capacity] of them waiting. */
internal class LineLog(private val out: OutputStream, capacity: Int = CAPACITY) : Appender {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()
    private val writer = Thread(::run, "log").apply { isDaemon = true }

    override fun log(loggingEvent: KLoggingEvent) {
        val level = loggingEvent.level.name.lowercase()
        val line = "wallMs=${loggingEvent.timestamp} level=$level ${loggingEvent.message}\n"
        if (!lines.offer(line)) dropped.incrementAndGet()
    }

    /** Starts to write the lines. */
    fun start() = writer.start()

    /** Writes the lines that are queued and ends the writing, which takes at most [timeoutMs]. */
    fun close(timeoutMs: Long) {
        writer.interrupt()
        writer.join(timeoutMs)
    }

    private fun run() {
        var reported = 0L
        try {
            while (true) {
                reported = write(lines.take(), reported)
                // Lines logged within this interval are written together, which saves wake-ups.
                Thread.sleep(BATCH_INTERVAL_MS)
            }
        } catch (_: InterruptedException) {
            while (true) reported = write(lines.poll() ?: return, reported)
        }
    }

    /** Writes [first] and queued lines up to a limit. Returns the number of dropped lines that were [reported]. */
    private fun write(first: String, reported: Long): Long {
        val text = StringBuilder(first)
        while (text.length < MAX_WRITE_CHARS) text.append(lines.poll() ?: break)
        val now = dropped.get()
        if (now > reported) text.append("level=warn event=log_lines_dropped total=$now\n")
        out.write(text.toString().toByteArray())
        out.flush()
        return now
    }

    companion object {
        private const val CAPACITY = 4_096
        private const val MAX_WRITE_CHARS = 65_536
        private const val BATCH_INTERVAL_MS = 200L

        /** Sends all log lines of the process to [out]. */
        fun install(out: OutputStream): LineLog {
            val log = LineLog(out)
            KotlinLoggingConfiguration.logStartupMessage = false
            KotlinLoggingConfiguration.loggerFactory = DirectLoggerFactory
            KotlinLoggingConfiguration.direct.logLevel = Level.INFO
            KotlinLoggingConfiguration.direct.appender = log
            log.start()
            return log
        }
    }
}
