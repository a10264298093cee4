package org.gypsumturn.schema.peer;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.peer.v1.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.peer.ExchangeRequest,
      org.gypsumturn.schema.peer.ExchangeReply> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.gypsumturn.schema.peer.ExchangeRequest.class,
      responseType = org.gypsumturn.schema.peer.ExchangeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.peer.ExchangeRequest,
      org.gypsumturn.schema.peer.ExchangeReply> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.peer.ExchangeRequest, org.gypsumturn.schema.peer.ExchangeReply> getExchangeMethod;
    if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
          PeerGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.peer.ExchangeRequest, org.gypsumturn.schema.peer.ExchangeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.peer.ExchangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.peer.ExchangeReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.peer.ShareSlotsRequest,
      org.gypsumturn.schema.peer.ShareSlotsReply> getShareSlotsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ShareSlots",
      requestType = org.gypsumturn.schema.peer.ShareSlotsRequest.class,
      responseType = org.gypsumturn.schema.peer.ShareSlotsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.peer.ShareSlotsRequest,
      org.gypsumturn.schema.peer.ShareSlotsReply> getShareSlotsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.peer.ShareSlotsRequest, org.gypsumturn.schema.peer.ShareSlotsReply> getShareSlotsMethod;
    if ((getShareSlotsMethod = PeerGrpc.getShareSlotsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getShareSlotsMethod = PeerGrpc.getShareSlotsMethod) == null) {
          PeerGrpc.getShareSlotsMethod = getShareSlotsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.peer.ShareSlotsRequest, org.gypsumturn.schema.peer.ShareSlotsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ShareSlots"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.peer.ShareSlotsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.peer.ShareSlotsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ShareSlots"))
              .build();
        }
      }
    }
    return getShareSlotsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * Exchanges what both sides know of the newest view, and returns the changes that the asking side lacks.
     * </pre>
     */
    default void exchange(org.gypsumturn.schema.peer.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.peer.ExchangeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Exchanges the demand for, and use of, executors' slots.
     * </pre>
     */
    default void shareSlots(org.gypsumturn.schema.peer.ShareSlotsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.peer.ShareSlotsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getShareSlotsMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges what both sides know of the newest view, and returns the changes that the asking side lacks.
     * </pre>
     */
    public void exchange(org.gypsumturn.schema.peer.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.peer.ExchangeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Exchanges the demand for, and use of, executors' slots.
     * </pre>
     */
    public void shareSlots(org.gypsumturn.schema.peer.ShareSlotsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.peer.ShareSlotsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getShareSlotsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges what both sides know of the newest view, and returns the changes that the asking side lacks.
     * </pre>
     */
    public org.gypsumturn.schema.peer.ExchangeReply exchange(org.gypsumturn.schema.peer.ExchangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges the demand for, and use of, executors' slots.
     * </pre>
     */
    public org.gypsumturn.schema.peer.ShareSlotsReply shareSlots(org.gypsumturn.schema.peer.ShareSlotsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getShareSlotsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges what both sides know of the newest view, and returns the changes that the asking side lacks.
     * </pre>
     */
    public org.gypsumturn.schema.peer.ExchangeReply exchange(org.gypsumturn.schema.peer.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges the demand for, and use of, executors' slots.
     * </pre>
     */
    public org.gypsumturn.schema.peer.ShareSlotsReply shareSlots(org.gypsumturn.schema.peer.ShareSlotsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getShareSlotsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges what both sides know of the newest view, and returns the changes that the asking side lacks.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.peer.ExchangeReply> exchange(
        org.gypsumturn.schema.peer.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Exchanges the demand for, and use of, executors' slots.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.peer.ShareSlotsReply> shareSlots(
        org.gypsumturn.schema.peer.ShareSlotsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getShareSlotsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;
  private static final int METHODID_SHARE_SLOTS = 1;

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
        case METHODID_EXCHANGE:
          serviceImpl.exchange((org.gypsumturn.schema.peer.ExchangeRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.peer.ExchangeReply>) responseObserver);
          break;
        case METHODID_SHARE_SLOTS:
          serviceImpl.shareSlots((org.gypsumturn.schema.peer.ShareSlotsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.peer.ShareSlotsReply>) responseObserver);
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
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.peer.ExchangeRequest,
              org.gypsumturn.schema.peer.ExchangeReply>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getShareSlotsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.peer.ShareSlotsRequest,
              org.gypsumturn.schema.peer.ShareSlotsReply>(
                service, METHODID_SHARE_SLOTS)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.peer.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getShareSlotsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
