// gRPC service through which tests set faults and read which requests and jobs have run.

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
 * Sets faults and returns executions. Requests with invalid values are answered with INVALID_ARGUMENT.
 *
 * @param setInstanceFault applies a fault to an instance; returns false if the instance is unknown
 * @param executions returns the executions so far
 */
internal class FaultsService(
    private val faults: ActiveFaults,
    private val setInstanceFault: (InstanceId, InstanceFault) -> Boolean,
    private val executions: () -> ExecutionsReply,
) : FaultsGrpc.FaultsImplBase() {
    override fun setStoreFault(request: StoreFaultRequest, observer: StreamObserver<FaultReply>) {
        if (request.delayMillis < 0 || request.loseAnswerShare !in 0.0..1.0) {
            return observer.reject("delay_millis must be at least 0, lose_answer_share from 0 to 1")
        }
        faults.storeFault = StoreFault(request.down, request.delayMillis, request.loseAnswerShare)
        observer.complete()
    }

    override fun setInstanceFault(request: InstanceFaultRequest, observer: StreamObserver<FaultReply>) {
        val fault = InstanceFault.ofText(request.fault)
            ?: return observer.reject("fault must be one of ${InstanceFault.entries.joinToString { it.text }}")
        if (!setInstanceFault(InstanceId(request.instance), fault)) {
            return observer.reject("no instance ${request.instance}")
        }
        observer.complete()
    }

    override fun getExecutions(request: ExecutionsRequest, observer: StreamObserver<ExecutionsReply>) {
        observer.onNext(executions())
        observer.onCompleted()
    }

    private fun StreamObserver<FaultReply>.complete() {
        onNext(FaultReply.getDefaultInstance())
        onCompleted()
    }

    private fun StreamObserver<FaultReply>.reject(reason: String) {
        onError(Status.INVALID_ARGUMENT.withDescription(reason).asRuntimeException())
    }
}
