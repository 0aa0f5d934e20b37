/**
 * Follows changes of the settings file, which the platform announces by a signal or not at all. Only the contacts can
 * change while the process runs; every other setting needs a restart, which the platform performs.
 */
package org.hickorytiller.daemon

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.SettingsFault
import java.net.InetSocketAddress

/** Reads the settings file; returns the settings or the faults of the file. */
internal typealias ReadSettings = () -> Either<List<SettingsFault>, DaemonSettings>

/** Called with the contacts of a changed file. */
internal typealias OnContacts = (List<InetSocketAddress>) -> Unit

/** Reloads settings. Confined to the event loop, except for [requestReload]. */
internal class SettingsReload(
    private var current: DaemonSettings,
    private val read: ReadSettings,
    private val onContacts: OnContacts,
) {
    private val signals = Channel<Unit>(Channel.CONFLATED)

    /** Requests a reload after a signal that the file has changed. May be called from any thread. */
    fun requestReload() {
        signals.trySend(Unit)
    }

    /** Reloads on request and at a fixed interval; does not return. */
    suspend fun run() {
        while (true) {
            val isRequested = withTimeoutOrNull(POLL_INTERVAL_MS) { signals.receive() } != null
            reload(isRequested)
        }
    }

    /** Reads the file once. An invalid file changes nothing. */
    fun reload(isRequested: Boolean) = read().fold(
        { faults -> log.error { "event=reload outcome=faulty faults=${faults.joinToString(";")}" } },
        { settings -> apply(settings, isRequested) },
    )

    private fun apply(settings: DaemonSettings, isRequested: Boolean) {
        if (settings == current) {
            if (isRequested) log.info { "event=reload outcome=unchanged" }
            return
        }
        val needsRestart = settings.copy(contacts = current.contacts) != current
        current = settings
        onContacts(settings.contacts)
        log.info { "event=reload outcome=changed contacts=${settings.contacts.size} needsRestart=$needsRestart" }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        // Contacts matter only to hosts that have just started, and reading takes time, so the file is read rarely.
        const val POLL_INTERVAL_MS = 10_000L
    }
}
