// Settings that every process of the system has: who and where it is, and how it is observed.

package org.gypsumturn.runtime.settings

/** Settings of the sections `node`, `metrics` and `traces`. */
public object CommonSettings {
    /** Name of the node; each start adds a random part. */
    public val nodeName: Setting<String> = name("node", "name", null, "name of this process in logs, metrics and lists")

    /** Region of the node. */
    public val region: Setting<String> = name("node", "region", null, "region in which this process runs")

    /** Data centre of the node. */
    public val dataCentre: Setting<String> = name("node", "data_centre", null, "data centre in which this process runs")

    /** Address at which Prometheus scrapes the process. */
    public val metricsAddress: Setting<HostAndPort> =
        address("metrics", "address", null, "address at which metrics are served over HTTP; port 0 takes any")

    /** Where spans go. */
    public val traceExporter: Setting<String> =
        oneOf("traces", "exporter", "log", listOf("none", "log", "otlp"), "where spans are sent")

    /** Endpoint of the span collector. */
    public val traceEndpoint: Setting<String> =
        text("traces", "otlp_endpoint", "http://127.0.0.1:4318/v1/traces", "HTTP endpoint of the OTLP collector")

    /** Share of traces that are kept, where the caller did not decide. */
    public val traceShare: Setting<Double> =
        number("traces", "sample_share", 0.01, 0.0, 1.0, "share", "share of new traces that are recorded")

    /** All of them. */
    public val all: List<Setting<*>> =
        listOf(nodeName, region, dataCentre, metricsAddress, traceExporter, traceEndpoint, traceShare)
}
