/**
 * Follows changes of the settings file, which the platform announces by a signal or not at all. Only the contacts can
 * change while the process runs; every other setting needs a new start, which the platform does by itself.
 */
package org.hickorytiller.daemon

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.SettingsFault
import java.net.InetSocketAddress

/** Reads the settings file: the settings or the faults of the file. */
internal typealias ReadSettings = () -> Either<List<SettingsFault>, DaemonSettings>

/** Told the contacts of a changed file. */
internal typealias OnContacts = (List<InetSocketAddress>) -> Unit

/** Reloads settings. Confined to the event loop, but for [announced]. */
internal class SettingsReload(
    private var current: DaemonSettings,
    private val read: ReadSettings,
    private val onContacts: OnContacts,
) {
    private val signals = Channel<Unit>(Channel.CONFLATED)

    /** The file has changed, as a signal says. May be called from any thread. */
    fun announced() {
        signals.trySend(Unit)
    }

    /** Reloads when it is announced, and looks for itself now and then; does not return. */
    suspend fun run() {
        while (true) {
            val isAnnounced = withTimeoutOrNull(LOOK_INTERVAL_MS) { signals.receive() } != null
            reload(isAnnounced)
        }
    }

    /** Reads the file once. A faulty file changes nothing. */
    fun reload(isAnnounced: Boolean) = read().fold(
        { faults -> log.error { "event=reload outcome=faulty faults=${faults.joinToString(";")}" } },
        { settings -> take(settings, isAnnounced) },
    )

    private fun take(settings: DaemonSettings, isAnnounced: Boolean) {
        if (settings == current) {
            if (isAnnounced) log.info { "event=reload outcome=unchanged" }
            return
        }
        val needsRestart = settings.copy(contacts = current.contacts) != current
        current = settings
        onContacts(settings.contacts)
        log.info { "event=reload outcome=changed contacts=${settings.contacts.size} needsRestart=$needsRestart" }
    }

    private companion object {
        val log = KotlinLogging.logger {}

        // Contacts matter to hosts that have just started; the file is read seldom, since reading costs time.
        const val LOOK_INTERVAL_MS = 10_000L
    }
}
