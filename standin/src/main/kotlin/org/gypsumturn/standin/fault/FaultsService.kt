// Faults on demand over gRPC, and the record of what was run.

package org.gypsumturn.standin.fault

import io.grpc.Status
import io.grpc.stub.StreamObserver
import org.gypsumturn.model.InstanceId
import org.gypsumturn.schema.platform.ExecutionsReply
import org.gypsumturn.schema.platform.ExecutionsRequest
import org.gypsumturn.schema.platform.FaultReply
import org.gypsumturn.schema.platform.FaultsGrpc
import org.gypsumturn.schema.platform.InstanceFaultRequest
import org.gypsumturn.schema.platform.StoreFaultRequest

/**
 * The service for faults.
 *
 * @param setInstanceFault puts a fault in force; false where there is no such instance
 */
internal class FaultsService(
    private val faults: Faults,
    private val setInstanceFault: (InstanceId, InstanceFault) -> Boolean,
    private val executions: () -> ExecutionsReply,
) : FaultsGrpc.FaultsImplBase() {
    override fun setStoreFault(request: StoreFaultRequest, observer: StreamObserver<FaultReply>) {
        if (request.delayMillis < 0 || request.loseAnswerShare !in 0.0..1.0) {
            return observer.refuse("delay_millis must be at least 0, lose_answer_share from 0 to 1")
        }
        faults.store = StoreFault(request.down, request.delayMillis, request.loseAnswerShare)
        observer.done()
    }

    override fun setInstanceFault(request: InstanceFaultRequest, observer: StreamObserver<FaultReply>) {
        val fault = InstanceFault.ofText(request.fault)
            ?: return observer.refuse("fault must be one of ${InstanceFault.entries.joinToString { it.text }}")
        if (!setInstanceFault(InstanceId(request.instance), fault)) {
            return observer.refuse("no instance ${request.instance}")
        }
        observer.done()
    }

    override fun getExecutions(request: ExecutionsRequest, observer: StreamObserver<ExecutionsReply>) {
        observer.onNext(executions())
        observer.onCompleted()
    }

    private fun StreamObserver<FaultReply>.done() {
        onNext(FaultReply.getDefaultInstance())
        onCompleted()
    }

    private fun StreamObserver<FaultReply>.refuse(reason: String) {
        onError(Status.INVALID_ARGUMENT.withDescription(reason).asRuntimeException())
    }
}
