package org.gypsumturn.schema.platform;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class ObjectsGrpc {

  private ObjectsGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.platform.v1.Objects";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.PutObjectRequest,
      org.gypsumturn.schema.platform.PutObjectReply> getPutMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Put",
      requestType = org.gypsumturn.schema.platform.PutObjectRequest.class,
      responseType = org.gypsumturn.schema.platform.PutObjectReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.PutObjectRequest,
      org.gypsumturn.schema.platform.PutObjectReply> getPutMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.PutObjectRequest, org.gypsumturn.schema.platform.PutObjectReply> getPutMethod;
    if ((getPutMethod = ObjectsGrpc.getPutMethod) == null) {
      synchronized (ObjectsGrpc.class) {
        if ((getPutMethod = ObjectsGrpc.getPutMethod) == null) {
          ObjectsGrpc.getPutMethod = getPutMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.PutObjectRequest, org.gypsumturn.schema.platform.PutObjectReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Put"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.PutObjectRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.PutObjectReply.getDefaultInstance()))
              .setSchemaDescriptor(new ObjectsMethodDescriptorSupplier("Put"))
              .build();
        }
      }
    }
    return getPutMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.GetObjectRequest,
      org.gypsumturn.schema.platform.GetObjectReply> getGetMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Get",
      requestType = org.gypsumturn.schema.platform.GetObjectRequest.class,
      responseType = org.gypsumturn.schema.platform.GetObjectReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.GetObjectRequest,
      org.gypsumturn.schema.platform.GetObjectReply> getGetMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.GetObjectRequest, org.gypsumturn.schema.platform.GetObjectReply> getGetMethod;
    if ((getGetMethod = ObjectsGrpc.getGetMethod) == null) {
      synchronized (ObjectsGrpc.class) {
        if ((getGetMethod = ObjectsGrpc.getGetMethod) == null) {
          ObjectsGrpc.getGetMethod = getGetMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.GetObjectRequest, org.gypsumturn.schema.platform.GetObjectReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Get"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.GetObjectRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.GetObjectReply.getDefaultInstance()))
              .setSchemaDescriptor(new ObjectsMethodDescriptorSupplier("Get"))
              .build();
        }
      }
    }
    return getGetMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RemoveObjectRequest,
      org.gypsumturn.schema.platform.RemoveObjectReply> getRemoveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Remove",
      requestType = org.gypsumturn.schema.platform.RemoveObjectRequest.class,
      responseType = org.gypsumturn.schema.platform.RemoveObjectReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RemoveObjectRequest,
      org.gypsumturn.schema.platform.RemoveObjectReply> getRemoveMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RemoveObjectRequest, org.gypsumturn.schema.platform.RemoveObjectReply> getRemoveMethod;
    if ((getRemoveMethod = ObjectsGrpc.getRemoveMethod) == null) {
      synchronized (ObjectsGrpc.class) {
        if ((getRemoveMethod = ObjectsGrpc.getRemoveMethod) == null) {
          ObjectsGrpc.getRemoveMethod = getRemoveMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.RemoveObjectRequest, org.gypsumturn.schema.platform.RemoveObjectReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Remove"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RemoveObjectRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RemoveObjectReply.getDefaultInstance()))
              .setSchemaDescriptor(new ObjectsMethodDescriptorSupplier("Remove"))
              .build();
        }
      }
    }
    return getRemoveMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ObjectsStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ObjectsStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ObjectsStub>() {
        @java.lang.Override
        public ObjectsStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ObjectsStub(channel, callOptions);
        }
      };
    return ObjectsStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static ObjectsBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ObjectsBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ObjectsBlockingV2Stub>() {
        @java.lang.Override
        public ObjectsBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ObjectsBlockingV2Stub(channel, callOptions);
        }
      };
    return ObjectsBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ObjectsBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ObjectsBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ObjectsBlockingStub>() {
        @java.lang.Override
        public ObjectsBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ObjectsBlockingStub(channel, callOptions);
        }
      };
    return ObjectsBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ObjectsFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ObjectsFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ObjectsFutureStub>() {
        @java.lang.Override
        public ObjectsFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ObjectsFutureStub(channel, callOptions);
        }
      };
    return ObjectsFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void put(org.gypsumturn.schema.platform.PutObjectRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.PutObjectReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPutMethod(), responseObserver);
    }

    /**
     */
    default void get(org.gypsumturn.schema.platform.GetObjectRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.GetObjectReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetMethod(), responseObserver);
    }

    /**
     */
    default void remove(org.gypsumturn.schema.platform.RemoveObjectRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RemoveObjectReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRemoveMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Objects.
   */
  public static abstract class ObjectsImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return ObjectsGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Objects.
   */
  public static final class ObjectsStub
      extends io.grpc.stub.AbstractAsyncStub<ObjectsStub> {
    private ObjectsStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ObjectsStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ObjectsStub(channel, callOptions);
    }

    /**
     */
    public void put(org.gypsumturn.schema.platform.PutObjectRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.PutObjectReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPutMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void get(org.gypsumturn.schema.platform.GetObjectRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.GetObjectReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void remove(org.gypsumturn.schema.platform.RemoveObjectRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RemoveObjectReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRemoveMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Objects.
   */
  public static final class ObjectsBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<ObjectsBlockingV2Stub> {
    private ObjectsBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ObjectsBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ObjectsBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.PutObjectReply put(org.gypsumturn.schema.platform.PutObjectRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPutMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.GetObjectReply get(org.gypsumturn.schema.platform.GetObjectRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RemoveObjectReply remove(org.gypsumturn.schema.platform.RemoveObjectRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRemoveMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Objects.
   */
  public static final class ObjectsBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<ObjectsBlockingStub> {
    private ObjectsBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ObjectsBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ObjectsBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.PutObjectReply put(org.gypsumturn.schema.platform.PutObjectRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPutMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.GetObjectReply get(org.gypsumturn.schema.platform.GetObjectRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RemoveObjectReply remove(org.gypsumturn.schema.platform.RemoveObjectRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRemoveMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Objects.
   */
  public static final class ObjectsFutureStub
      extends io.grpc.stub.AbstractFutureStub<ObjectsFutureStub> {
    private ObjectsFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ObjectsFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ObjectsFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.PutObjectReply> put(
        org.gypsumturn.schema.platform.PutObjectRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPutMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.GetObjectReply> get(
        org.gypsumturn.schema.platform.GetObjectRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.RemoveObjectReply> remove(
        org.gypsumturn.schema.platform.RemoveObjectRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRemoveMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_PUT = 0;
  private static final int METHODID_GET = 1;
  private static final int METHODID_REMOVE = 2;

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
        case METHODID_PUT:
          serviceImpl.put((org.gypsumturn.schema.platform.PutObjectRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.PutObjectReply>) responseObserver);
          break;
        case METHODID_GET:
          serviceImpl.get((org.gypsumturn.schema.platform.GetObjectRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.GetObjectReply>) responseObserver);
          break;
        case METHODID_REMOVE:
          serviceImpl.remove((org.gypsumturn.schema.platform.RemoveObjectRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RemoveObjectReply>) responseObserver);
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
          getPutMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.PutObjectRequest,
              org.gypsumturn.schema.platform.PutObjectReply>(
                service, METHODID_PUT)))
        .addMethod(
          getGetMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.GetObjectRequest,
              org.gypsumturn.schema.platform.GetObjectReply>(
                service, METHODID_GET)))
        .addMethod(
          getRemoveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.RemoveObjectRequest,
              org.gypsumturn.schema.platform.RemoveObjectReply>(
                service, METHODID_REMOVE)))
        .build();
  }

  private static abstract class ObjectsBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ObjectsBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.platform.Platform.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Objects");
    }
  }

  private static final class ObjectsFileDescriptorSupplier
      extends ObjectsBaseDescriptorSupplier {
    ObjectsFileDescriptorSupplier() {}
  }

  private static final class ObjectsMethodDescriptorSupplier
      extends ObjectsBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    ObjectsMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (ObjectsGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ObjectsFileDescriptorSupplier())
              .addMethod(getPutMethod())
              .addMethod(getGetMethod())
              .addMethod(getRemoveMethod())
              .build();
        }
      }
    }
    return result;
  }
}
