/** The policies that run on the same arrivals. */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import kotlin.random.Random

/** Chooses a server for a request from what one router knows, or null if there is none. */
internal typealias ChooseServer = (List<BackendServer>, Map<BackendServer, Int>) -> BackendServer?

/** A policy: this project's, or a baseline. */
internal enum class Policy(val label: String) {
    HICKORY("hickorytiller"),

    /** The same with one router, to measure what sharing among routers costs. */
    ONE_ROUTER("one router"),
    RANDOM("random"),
    ROUND_ROBIN("round robin"),
    LEAST_IN_FLIGHT("least in-flight"),

    /** One queue for everybody in order of arrival, with exact knowledge of the free slots. */
    FIRST_COME("first come"),
}

/** Server choice of the baselines of one router. */
internal fun baselineChoice(policy: Policy, seed: Long): ChooseServer {
    val random = Random(seed)
    var turn = random.nextInt(1_000)
    return when (policy) {
        Policy.RANDOM -> { servers, _ -> servers.randomOrNull(random) }
        Policy.ROUND_ROBIN -> { servers, _ -> if (servers.isEmpty()) null else servers[turn++ % servers.size] }
        else -> { servers, inFlight -> servers.minByOrNull { inFlight[it] ?: 0 } }
    }
}
