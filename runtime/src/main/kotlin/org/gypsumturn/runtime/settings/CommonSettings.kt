// Settings that every process of the system has: its name and location, and where its metrics and traces go.

package org.gypsumturn.runtime.settings

/** Settings of the sections `node`, `metrics` and `traces`. */
public object CommonSettings {
    /** Name of the node. The node id consists of it and a random part that is new for each start. */
    public val nodeName: Setting<String> = name("node", "name", null, "name of this process in logs, metrics and lists")

    public val region: Setting<String> = name("node", "region", null, "region in which this process runs")

    public val dataCentre: Setting<String> = name("node", "data_centre", null, "data centre in which this process runs")

    /** Address at which Prometheus scrapes the process; port 0 selects any free port. */
    public val metricsAddress: Setting<HostAndPort> =
        address("metrics", "address", null, "address at which metrics are served over HTTP; port 0 takes any")

    /** Exporter of spans: `none`, `log` or `otlp`. */
    public val traceExporter: Setting<String> =
        oneOf("traces", "exporter", "log", listOf("none", "log", "otlp"), "where spans are sent")

    /** HTTP endpoint of the OTLP collector; used only by the exporter `otlp`. */
    public val traceEndpoint: Setting<String> =
        text("traces", "otlp_endpoint", "http://127.0.0.1:4318/v1/traces", "HTTP endpoint of the OTLP collector")

    /** Share of traces that are recorded if the caller did not decide about sampling. */
    public val traceShare: Setting<Double> =
        number("traces", "sample_share", 0.01, 0.0, 1.0, "share", "share of new traces that are recorded")

    /** All settings above, for the schemas of programs. */
    public val all: List<Setting<*>> =
        listOf(nodeName, region, dataCentre, metricsAddress, traceExporter, traceEndpoint, traceShare)
}
