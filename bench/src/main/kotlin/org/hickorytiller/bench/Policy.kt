/** The routing policies that the benchmark compares on the same arrivals. */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import kotlin.random.Random

/** Chooses a server from the running servers and the in-flight counts of one router; null if no server is running. */
internal typealias ChooseServer = (List<BackendServer>, Map<BackendServer, Int>) -> BackendServer?

/** A policy: this project's, or a baseline. */
internal enum class Policy(val label: String) {
    HICKORY("hickorytiller"),

    /** [HICKORY] with a single router, to measure the capacity lost by dividing slots among several routers. */
    ONE_ROUTER("one router"),
    RANDOM("random"),
    ROUND_ROBIN("round robin"),
    LEAST_IN_FLIGHT("least in-flight"),

    /** One queue for all routers in order of arrival, with exact knowledge of the free slots. */
    FIRST_COME("first come"),
}

/** Returns the server selection of one router under the baseline [policy]. */
internal fun baselineSelection(policy: Policy, seed: Long): ChooseServer {
    val random = Random(seed)
    var nextIndex = random.nextInt(1_000)
    return when (policy) {
        Policy.RANDOM -> { servers, _ -> servers.randomOrNull(random) }
        Policy.ROUND_ROBIN -> { servers, _ -> if (servers.isEmpty()) null else servers[nextIndex++ % servers.size] }
        else -> { servers, inFlight -> servers.minByOrNull { inFlight[it] ?: 0 } }
    }
}
