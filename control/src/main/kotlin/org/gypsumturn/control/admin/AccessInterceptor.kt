// Checks the bearer token of each call of the administration API. Reads and changes have separate tokens.

package org.gypsumturn.control.admin

import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import java.security.MessageDigest

/** Tokens of the administration API. An empty token allows every caller. The token for changes also allows reads. */
internal data class AccessTokens(val read: String, val change: String)

/** Refuses calls that lack the required token with PERMISSION_DENIED. */
internal class AccessInterceptor(private val tokens: AccessTokens) : ServerInterceptor {
    override fun <Q, R> interceptCall(
        call: ServerCall<Q, R>,
        headers: Metadata,
        next: ServerCallHandler<Q, R>,
    ): ServerCall.Listener<Q> {
        val method = call.methodDescriptor.bareMethodName.orEmpty()
        if (isAllowed(method, headers.get(AUTHORIZATION).orEmpty())) return next.startCall(call, headers)
        val refusal = toException(CallFailure.Forbidden("the token does not allow $method"))
        call.close(refusal.status, refusal.trailers ?: Metadata())
        return object : ServerCall.Listener<Q>() {}
    }

    private fun isAllowed(method: String, authorization: String): Boolean {
        val token = authorization.removePrefix(BEARER)
        if (matches(tokens.change, token)) return true
        return isReadMethod(method) && matches(tokens.read, token)
    }

    private fun isReadMethod(method: String): Boolean = READ_METHOD_PREFIXES.any { method.startsWith(it) }

    private fun matches(expected: String, token: String): Boolean =
        expected.isEmpty() || MessageDigest.isEqual(expected.toByteArray(), token.toByteArray())

    private companion object {
        const val BEARER = "Bearer "
        val READ_METHOD_PREFIXES = listOf("List", "Get", "Watch")
        val AUTHORIZATION: Metadata.Key<String> =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER)
    }
}
