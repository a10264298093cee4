// Makes one attempt at a call over HTTP and turns the answer or the failure into a reply.

package org.gypsumturn.bench.load

import org.gypsumturn.runtime.settings.HostAndPort
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val CONNECT_TIMEOUT_MILLIS = 1_000L
private const val VERDICT_HEADER = "X-Verdict"

internal data class HttpHeader(val name: String, val value: String)

/** A call to an entry: a POST with [body], or a GET if [body] is null. */
internal data class HttpCall(val path: String, val headers: List<HttpHeader>, val body: String?)

/**
 * Sends calls to entries. Calls that may run something are sent with POST, since the client of the JDK never repeats a
 * POST by itself.
 */
internal class EntryHttp(private val timeoutMillis: Long) {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
            .build()

    fun send(entry: HostAndPort, call: HttpCall): Reply = try {
        replyOf(client.send(requestOf(entry, call), HttpResponse.BodyHandlers.ofString()))
    } catch (e: ConnectException) {
        Reply.NoConnection(reasonOf(e))
    } catch (e: HttpConnectTimeoutException) {
        Reply.NoConnection(reasonOf(e))
    } catch (e: IOException) {
        Reply.Broken(reasonOf(e))
    }

    private fun requestOf(entry: HostAndPort, call: HttpCall): HttpRequest {
        val builder =
            HttpRequest
                .newBuilder(URI("http://${entry.host}:${entry.port}${call.path}"))
                .timeout(Duration.ofMillis(timeoutMillis))
        call.headers.forEach { builder.header(it.name, it.value) }
        if (call.body == null) builder.GET() else builder.POST(HttpRequest.BodyPublishers.ofString(call.body))
        return builder.build()
    }

    private fun replyOf(response: HttpResponse<String>): Reply =
        when (val verdict = response.headers().firstValue(VERDICT_HEADER).orElse("")) {
            "ran" -> Reply.Ran(response.body())
            "not-run" -> Reply.NotRun("${response.statusCode()} ${response.body()}")
            "may-have-run" -> Reply.MayHaveRun("${response.statusCode()} ${response.body()}")
            else -> Reply.Broken("${response.statusCode()} with verdict \"$verdict\"")
        }

    private fun reasonOf(e: IOException) = "${e.javaClass.simpleName} ${e.message.orEmpty()}"
}
