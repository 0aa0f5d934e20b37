/** Command line of `hickory-load`. */
package org.hickorytiller.loadtest

import org.kohsuke.args4j.Option

internal class LoadOptions {
    @Option(name = "--router", required = true, metaVar = "IP:PORT", usage = "caller address of the router")
    var router = ""

    @Option(name = "--direct", required = true, metaVar = "IP:PORT", usage = "address of an engine, for comparison")
    var direct = ""

    @Option(name = "--key", required = true, metaVar = "KEY", usage = "key of a customer")
    var key = ""

    @Option(name = "--model", metaVar = "NAME", usage = "model to ask for (default report-writer)")
    var model = "report-writer"

    @Option(name = "--rate", metaVar = "N", usage = "requests a second through the router (default 500)")
    var ratePerSecond = 500

    @Option(name = "--seconds", metaVar = "N", usage = "length of the measurement after the warm-up (default 20)")
    var seconds = 20

    @Option(name = "--warm-up", metaVar = "N", usage = "seconds before the measurement (default 20)")
    var warmUpSeconds = 20

    @Option(name = "--tokens", metaVar = "N", usage = "tokens of each answer (default 8)")
    var tokens = 8

    @Option(name = "--seed", metaVar = "N", usage = "seed of the arrival times (default 1)")
    var seed = 1L

    @Option(name = "--router-pid", metaVar = "PID", usage = "process id of the router, to read its processor time")
    var routerPid = 0L

    @Option(
        name = "--max-added-ms",
        metaVar = "MS",
        usage = "bound of the added median time to first token (default 1)",
    )
    var maxAddedMs = 1.0

    @Option(name = "--help", help = true, usage = "show this text")
    var help = false
}
