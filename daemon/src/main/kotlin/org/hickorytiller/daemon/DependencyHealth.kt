/** Logs the loss and the recovery of a dependency, once each. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/** Health of the dependency called [name]. */
internal class DependencyHealth(private val name: String, private val clock: Clock) {
    /** When the dependency last failed; null if it never has. */
    var lastFailureAt: TimeMs? = null
        private set

    private var lostAt: TimeMs? = null

    fun succeeded() {
        val since = lostAt ?: return
        lostAt = null
        log.info { "event=dependency_regained name=$name afterMs=${clock() - since}" }
    }

    fun failed(reason: String) {
        lastFailureAt = clock()
        if (lostAt != null) return
        lostAt = clock()
        log.warn { "event=dependency_lost name=$name reason=$reason" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
