package org.gypsumturn.schema.platform;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class InstancesGrpc {

  private InstancesGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.platform.v1.Instances";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ListRequest,
      org.gypsumturn.schema.platform.ListReply> getListMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "List",
      requestType = org.gypsumturn.schema.platform.ListRequest.class,
      responseType = org.gypsumturn.schema.platform.ListReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ListRequest,
      org.gypsumturn.schema.platform.ListReply> getListMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ListRequest, org.gypsumturn.schema.platform.ListReply> getListMethod;
    if ((getListMethod = InstancesGrpc.getListMethod) == null) {
      synchronized (InstancesGrpc.class) {
        if ((getListMethod = InstancesGrpc.getListMethod) == null) {
          InstancesGrpc.getListMethod = getListMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.ListRequest, org.gypsumturn.schema.platform.ListReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "List"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ListRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ListReply.getDefaultInstance()))
              .setSchemaDescriptor(new InstancesMethodDescriptorSupplier("List"))
              .build();
        }
      }
    }
    return getListMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RebootRequest,
      org.gypsumturn.schema.platform.RebootReply> getRebootMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Reboot",
      requestType = org.gypsumturn.schema.platform.RebootRequest.class,
      responseType = org.gypsumturn.schema.platform.RebootReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RebootRequest,
      org.gypsumturn.schema.platform.RebootReply> getRebootMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RebootRequest, org.gypsumturn.schema.platform.RebootReply> getRebootMethod;
    if ((getRebootMethod = InstancesGrpc.getRebootMethod) == null) {
      synchronized (InstancesGrpc.class) {
        if ((getRebootMethod = InstancesGrpc.getRebootMethod) == null) {
          InstancesGrpc.getRebootMethod = getRebootMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.RebootRequest, org.gypsumturn.schema.platform.RebootReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Reboot"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RebootRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RebootReply.getDefaultInstance()))
              .setSchemaDescriptor(new InstancesMethodDescriptorSupplier("Reboot"))
              .build();
        }
      }
    }
    return getRebootMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static InstancesStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<InstancesStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<InstancesStub>() {
        @java.lang.Override
        public InstancesStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new InstancesStub(channel, callOptions);
        }
      };
    return InstancesStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static InstancesBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<InstancesBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<InstancesBlockingV2Stub>() {
        @java.lang.Override
        public InstancesBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new InstancesBlockingV2Stub(channel, callOptions);
        }
      };
    return InstancesBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static InstancesBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<InstancesBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<InstancesBlockingStub>() {
        @java.lang.Override
        public InstancesBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new InstancesBlockingStub(channel, callOptions);
        }
      };
    return InstancesBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static InstancesFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<InstancesFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<InstancesFutureStub>() {
        @java.lang.Override
        public InstancesFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new InstancesFutureStub(channel, callOptions);
        }
      };
    return InstancesFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void list(org.gypsumturn.schema.platform.ListRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ListReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListMethod(), responseObserver);
    }

    /**
     */
    default void reboot(org.gypsumturn.schema.platform.RebootRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RebootReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRebootMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Instances.
   */
  public static abstract class InstancesImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return InstancesGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Instances.
   */
  public static final class InstancesStub
      extends io.grpc.stub.AbstractAsyncStub<InstancesStub> {
    private InstancesStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected InstancesStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new InstancesStub(channel, callOptions);
    }

    /**
     */
    public void list(org.gypsumturn.schema.platform.ListRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ListReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void reboot(org.gypsumturn.schema.platform.RebootRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RebootReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRebootMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Instances.
   */
  public static final class InstancesBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<InstancesBlockingV2Stub> {
    private InstancesBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected InstancesBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new InstancesBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ListReply list(org.gypsumturn.schema.platform.ListRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RebootReply reboot(org.gypsumturn.schema.platform.RebootRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRebootMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Instances.
   */
  public static final class InstancesBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<InstancesBlockingStub> {
    private InstancesBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected InstancesBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new InstancesBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ListReply list(org.gypsumturn.schema.platform.ListRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RebootReply reboot(org.gypsumturn.schema.platform.RebootRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRebootMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Instances.
   */
  public static final class InstancesFutureStub
      extends io.grpc.stub.AbstractFutureStub<InstancesFutureStub> {
    private InstancesFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected InstancesFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new InstancesFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.ListReply> list(
        org.gypsumturn.schema.platform.ListRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.RebootReply> reboot(
        org.gypsumturn.schema.platform.RebootRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRebootMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_LIST = 0;
  private static final int METHODID_REBOOT = 1;

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
        case METHODID_LIST:
          serviceImpl.list((org.gypsumturn.schema.platform.ListRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ListReply>) responseObserver);
          break;
        case METHODID_REBOOT:
          serviceImpl.reboot((org.gypsumturn.schema.platform.RebootRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RebootReply>) responseObserver);
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
          getListMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.ListRequest,
              org.gypsumturn.schema.platform.ListReply>(
                service, METHODID_LIST)))
        .addMethod(
          getRebootMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.RebootRequest,
              org.gypsumturn.schema.platform.RebootReply>(
                service, METHODID_REBOOT)))
        .build();
  }

  private static abstract class InstancesBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    InstancesBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.platform.Platform.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Instances");
    }
  }

  private static final class InstancesFileDescriptorSupplier
      extends InstancesBaseDescriptorSupplier {
    InstancesFileDescriptorSupplier() {}
  }

  private static final class InstancesMethodDescriptorSupplier
      extends InstancesBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    InstancesMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (InstancesGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new InstancesFileDescriptorSupplier())
              .addMethod(getListMethod())
              .addMethod(getRebootMethod())
              .build();
        }
      }
    }
    return result;
  }
}
