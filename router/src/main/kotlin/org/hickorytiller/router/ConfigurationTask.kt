/** Follows the configuration stream and puts each accepted change into force in this router. */
package org.hickorytiller.router

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.module.kotlin.readValue
import io.github.oshai.kotlinlogging.KotlinLogging
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.ConfigurationRecord
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.core.json
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.Read
import org.hickorytiller.platform.followStream

/** The configuration in force in this router. Confined to the event loop. */
internal class ConfigurationTask(private val read: Read, private val keys: KeyRegistry) {
    /** The accepted configuration. */
    var state = ConfigurationState()
        private set

    /** Whether the end of the stream has been reached once, so that requests can be judged. */
    var ready = false
        private set

    /** Follows the stream; does not return. */
    suspend fun run(): Nothing = followStream(read, CONFIGURATION_STREAM, state.offset.next()) { page ->
        page.records.forEach(::apply)
        if (state.offset.next() >= page.end && !ready) {
            ready = true
            log.info { "configuration is in force at offset ${state.offset}" }
        }
    }

    private fun apply(record: LogRecord) {
        val message =
            try {
                json.readValue<ConfigurationRecord>(record.data)
            } catch (e: JsonProcessingException) {
                log.warn { "configuration record ${record.offset} is malformed: ${e.originalMessage}" }
                return
            }
        state = state.apply(message, record.offset)
        keys.replaceGrants(state.activeKeys())
        state.withdrawn.forEach(keys::withdraw)
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
