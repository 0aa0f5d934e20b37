/** Command line of `hickory-standins`. */
package org.hickorytiller.standins

import org.kohsuke.args4j.Option

internal class StandInOptions {
    @Option(name = "--port", usage = "first of the ports on 127.0.0.1 that the stand-ins listen on (default 7100)")
    var port = 7100

    @Option(
        name = "--hosts",
        usage = "entry hosts in the host list as NAME=IP:PORT of the peer address, separated by commas",
    )
    var hosts = ""

    @Option(name = "--engines", usage = "number of model engines at the start (default 4)")
    var engines = 4

    @Option(name = "--services", usage = "number of plain service replicas (default 2)")
    var services = 2

    @Option(name = "--slots", usage = "requests that an engine works on at once (default 8)")
    var slots = 8

    @Option(name = "--first-token-ms", usage = "time from the start of a request to its first token (default 20)")
    var firstTokenMs = 20L

    @Option(name = "--between-tokens-ms", usage = "time between two tokens (default 5)")
    var betweenTokensMs = 5L

    @Option(name = "--help", help = true, usage = "show this text")
    var help = false
}
