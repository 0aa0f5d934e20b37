/** Command line of `hickory-soak`. */
package org.hickorytiller.soak

import org.kohsuke.args4j.Option

internal class SoakOptions {
    @Option(name = "--seeds", metaVar = "A..B", usage = "seeds to play, one run for each (default 1..1)")
    var seeds = "1..1"

    @Option(name = "--hosts", metaVar = "N", usage = "number of daemon processes, 1 to 12 (default 3)")
    var hosts = 3

    @Option(name = "--callers", metaVar = "N", usage = "callers for each host (default 16)")
    var callersPerHost = 16

    @Option(name = "--episodes", metaVar = "N", usage = "series of signals in one run (default 4)")
    var episodes = 4

    @Option(name = "--busy", metaVar = "K", usage = "busy processes beside the daemons (default 0)")
    var busy = 0

    @Option(name = "--daemon-jar", metaVar = "PATH", usage = "JAR of another build of the daemon")
    var daemonJar: String? = null

    @Option(name = "--help", help = true, usage = "show this text")
    var help = false
}
