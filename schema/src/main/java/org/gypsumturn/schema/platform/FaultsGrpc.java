package org.gypsumturn.schema.platform;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Only the stand-in has this service.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class FaultsGrpc {

  private FaultsGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.platform.v1.Faults";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.StoreFaultRequest,
      org.gypsumturn.schema.platform.FaultReply> getSetStoreFaultMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SetStoreFault",
      requestType = org.gypsumturn.schema.platform.StoreFaultRequest.class,
      responseType = org.gypsumturn.schema.platform.FaultReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.StoreFaultRequest,
      org.gypsumturn.schema.platform.FaultReply> getSetStoreFaultMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.StoreFaultRequest, org.gypsumturn.schema.platform.FaultReply> getSetStoreFaultMethod;
    if ((getSetStoreFaultMethod = FaultsGrpc.getSetStoreFaultMethod) == null) {
      synchronized (FaultsGrpc.class) {
        if ((getSetStoreFaultMethod = FaultsGrpc.getSetStoreFaultMethod) == null) {
          FaultsGrpc.getSetStoreFaultMethod = getSetStoreFaultMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.StoreFaultRequest, org.gypsumturn.schema.platform.FaultReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SetStoreFault"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.StoreFaultRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.FaultReply.getDefaultInstance()))
              .setSchemaDescriptor(new FaultsMethodDescriptorSupplier("SetStoreFault"))
              .build();
        }
      }
    }
    return getSetStoreFaultMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.InstanceFaultRequest,
      org.gypsumturn.schema.platform.FaultReply> getSetInstanceFaultMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SetInstanceFault",
      requestType = org.gypsumturn.schema.platform.InstanceFaultRequest.class,
      responseType = org.gypsumturn.schema.platform.FaultReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.InstanceFaultRequest,
      org.gypsumturn.schema.platform.FaultReply> getSetInstanceFaultMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.InstanceFaultRequest, org.gypsumturn.schema.platform.FaultReply> getSetInstanceFaultMethod;
    if ((getSetInstanceFaultMethod = FaultsGrpc.getSetInstanceFaultMethod) == null) {
      synchronized (FaultsGrpc.class) {
        if ((getSetInstanceFaultMethod = FaultsGrpc.getSetInstanceFaultMethod) == null) {
          FaultsGrpc.getSetInstanceFaultMethod = getSetInstanceFaultMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.InstanceFaultRequest, org.gypsumturn.schema.platform.FaultReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SetInstanceFault"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.InstanceFaultRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.FaultReply.getDefaultInstance()))
              .setSchemaDescriptor(new FaultsMethodDescriptorSupplier("SetInstanceFault"))
              .build();
        }
      }
    }
    return getSetInstanceFaultMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ExecutionsRequest,
      org.gypsumturn.schema.platform.ExecutionsReply> getGetExecutionsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetExecutions",
      requestType = org.gypsumturn.schema.platform.ExecutionsRequest.class,
      responseType = org.gypsumturn.schema.platform.ExecutionsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ExecutionsRequest,
      org.gypsumturn.schema.platform.ExecutionsReply> getGetExecutionsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ExecutionsRequest, org.gypsumturn.schema.platform.ExecutionsReply> getGetExecutionsMethod;
    if ((getGetExecutionsMethod = FaultsGrpc.getGetExecutionsMethod) == null) {
      synchronized (FaultsGrpc.class) {
        if ((getGetExecutionsMethod = FaultsGrpc.getGetExecutionsMethod) == null) {
          FaultsGrpc.getGetExecutionsMethod = getGetExecutionsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.ExecutionsRequest, org.gypsumturn.schema.platform.ExecutionsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetExecutions"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ExecutionsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ExecutionsReply.getDefaultInstance()))
              .setSchemaDescriptor(new FaultsMethodDescriptorSupplier("GetExecutions"))
              .build();
        }
      }
    }
    return getGetExecutionsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static FaultsStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<FaultsStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<FaultsStub>() {
        @java.lang.Override
        public FaultsStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new FaultsStub(channel, callOptions);
        }
      };
    return FaultsStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static FaultsBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<FaultsBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<FaultsBlockingV2Stub>() {
        @java.lang.Override
        public FaultsBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new FaultsBlockingV2Stub(channel, callOptions);
        }
      };
    return FaultsBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static FaultsBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<FaultsBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<FaultsBlockingStub>() {
        @java.lang.Override
        public FaultsBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new FaultsBlockingStub(channel, callOptions);
        }
      };
    return FaultsBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static FaultsFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<FaultsFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<FaultsFutureStub>() {
        @java.lang.Override
        public FaultsFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new FaultsFutureStub(channel, callOptions);
        }
      };
    return FaultsFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Only the stand-in has this service.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default void setStoreFault(org.gypsumturn.schema.platform.StoreFaultRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.FaultReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSetStoreFaultMethod(), responseObserver);
    }

    /**
     */
    default void setInstanceFault(org.gypsumturn.schema.platform.InstanceFaultRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.FaultReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSetInstanceFaultMethod(), responseObserver);
    }

    /**
     */
    default void getExecutions(org.gypsumturn.schema.platform.ExecutionsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ExecutionsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetExecutionsMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Faults.
   * <pre>
   * Only the stand-in has this service.
   * </pre>
   */
  public static abstract class FaultsImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return FaultsGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Faults.
   * <pre>
   * Only the stand-in has this service.
   * </pre>
   */
  public static final class FaultsStub
      extends io.grpc.stub.AbstractAsyncStub<FaultsStub> {
    private FaultsStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected FaultsStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new FaultsStub(channel, callOptions);
    }

    /**
     */
    public void setStoreFault(org.gypsumturn.schema.platform.StoreFaultRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.FaultReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSetStoreFaultMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void setInstanceFault(org.gypsumturn.schema.platform.InstanceFaultRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.FaultReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSetInstanceFaultMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void getExecutions(org.gypsumturn.schema.platform.ExecutionsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ExecutionsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetExecutionsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Faults.
   * <pre>
   * Only the stand-in has this service.
   * </pre>
   */
  public static final class FaultsBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<FaultsBlockingV2Stub> {
    private FaultsBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected FaultsBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new FaultsBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.FaultReply setStoreFault(org.gypsumturn.schema.platform.StoreFaultRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSetStoreFaultMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.FaultReply setInstanceFault(org.gypsumturn.schema.platform.InstanceFaultRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSetInstanceFaultMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ExecutionsReply getExecutions(org.gypsumturn.schema.platform.ExecutionsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetExecutionsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Faults.
   * <pre>
   * Only the stand-in has this service.
   * </pre>
   */
  public static final class FaultsBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<FaultsBlockingStub> {
    private FaultsBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected FaultsBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new FaultsBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.FaultReply setStoreFault(org.gypsumturn.schema.platform.StoreFaultRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSetStoreFaultMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.FaultReply setInstanceFault(org.gypsumturn.schema.platform.InstanceFaultRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSetInstanceFaultMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ExecutionsReply getExecutions(org.gypsumturn.schema.platform.ExecutionsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetExecutionsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Faults.
   * <pre>
   * Only the stand-in has this service.
   * </pre>
   */
  public static final class FaultsFutureStub
      extends io.grpc.stub.AbstractFutureStub<FaultsFutureStub> {
    private FaultsFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected FaultsFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new FaultsFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.FaultReply> setStoreFault(
        org.gypsumturn.schema.platform.StoreFaultRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSetStoreFaultMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.FaultReply> setInstanceFault(
        org.gypsumturn.schema.platform.InstanceFaultRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSetInstanceFaultMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.ExecutionsReply> getExecutions(
        org.gypsumturn.schema.platform.ExecutionsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetExecutionsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_SET_STORE_FAULT = 0;
  private static final int METHODID_SET_INSTANCE_FAULT = 1;
  private static final int METHODID_GET_EXECUTIONS = 2;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_SET_STORE_FAULT:
          serviceImpl.setStoreFault((org.gypsumturn.schema.platform.StoreFaultRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.FaultReply>) responseObserver);
          break;
        case METHODID_SET_INSTANCE_FAULT:
          serviceImpl.setInstanceFault((org.gypsumturn.schema.platform.InstanceFaultRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.FaultReply>) responseObserver);
          break;
        case METHODID_GET_EXECUTIONS:
          serviceImpl.getExecutions((org.gypsumturn.schema.platform.ExecutionsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ExecutionsReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getSetStoreFaultMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.StoreFaultRequest,
              org.gypsumturn.schema.platform.FaultReply>(
                service, METHODID_SET_STORE_FAULT)))
        .addMethod(
          getSetInstanceFaultMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.InstanceFaultRequest,
              org.gypsumturn.schema.platform.FaultReply>(
                service, METHODID_SET_INSTANCE_FAULT)))
        .addMethod(
          getGetExecutionsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.ExecutionsRequest,
              org.gypsumturn.schema.platform.ExecutionsReply>(
                service, METHODID_GET_EXECUTIONS)))
        .build();
  }

  private static abstract class FaultsBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    FaultsBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.platform.Platform.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Faults");
    }
  }

  private static final class FaultsFileDescriptorSupplier
      extends FaultsBaseDescriptorSupplier {
    FaultsFileDescriptorSupplier() {}
  }

  private static final class FaultsMethodDescriptorSupplier
      extends FaultsBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    FaultsMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (FaultsGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new FaultsFileDescriptorSupplier())
              .addMethod(getSetStoreFaultMethod())
              .addMethod(getSetInstanceFaultMethod())
              .addMethod(getGetExecutionsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
