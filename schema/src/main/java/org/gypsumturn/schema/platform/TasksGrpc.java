package org.gypsumturn.schema.platform;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class TasksGrpc {

  private TasksGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.platform.v1.Tasks";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.StartTaskRequest,
      org.gypsumturn.schema.platform.StartTaskReply> getStartMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Start",
      requestType = org.gypsumturn.schema.platform.StartTaskRequest.class,
      responseType = org.gypsumturn.schema.platform.StartTaskReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.StartTaskRequest,
      org.gypsumturn.schema.platform.StartTaskReply> getStartMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.StartTaskRequest, org.gypsumturn.schema.platform.StartTaskReply> getStartMethod;
    if ((getStartMethod = TasksGrpc.getStartMethod) == null) {
      synchronized (TasksGrpc.class) {
        if ((getStartMethod = TasksGrpc.getStartMethod) == null) {
          TasksGrpc.getStartMethod = getStartMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.StartTaskRequest, org.gypsumturn.schema.platform.StartTaskReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Start"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.StartTaskRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.StartTaskReply.getDefaultInstance()))
              .setSchemaDescriptor(new TasksMethodDescriptorSupplier("Start"))
              .build();
        }
      }
    }
    return getStartMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RenewTasksRequest,
      org.gypsumturn.schema.platform.WorkerReport> getRenewMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Renew",
      requestType = org.gypsumturn.schema.platform.RenewTasksRequest.class,
      responseType = org.gypsumturn.schema.platform.WorkerReport.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RenewTasksRequest,
      org.gypsumturn.schema.platform.WorkerReport> getRenewMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.RenewTasksRequest, org.gypsumturn.schema.platform.WorkerReport> getRenewMethod;
    if ((getRenewMethod = TasksGrpc.getRenewMethod) == null) {
      synchronized (TasksGrpc.class) {
        if ((getRenewMethod = TasksGrpc.getRenewMethod) == null) {
          TasksGrpc.getRenewMethod = getRenewMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.RenewTasksRequest, org.gypsumturn.schema.platform.WorkerReport>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Renew"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RenewTasksRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.WorkerReport.getDefaultInstance()))
              .setSchemaDescriptor(new TasksMethodDescriptorSupplier("Renew"))
              .build();
        }
      }
    }
    return getRenewMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ActRequest,
      org.gypsumturn.schema.platform.ActReply> getActMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Act",
      requestType = org.gypsumturn.schema.platform.ActRequest.class,
      responseType = org.gypsumturn.schema.platform.ActReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ActRequest,
      org.gypsumturn.schema.platform.ActReply> getActMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ActRequest, org.gypsumturn.schema.platform.ActReply> getActMethod;
    if ((getActMethod = TasksGrpc.getActMethod) == null) {
      synchronized (TasksGrpc.class) {
        if ((getActMethod = TasksGrpc.getActMethod) == null) {
          TasksGrpc.getActMethod = getActMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.ActRequest, org.gypsumturn.schema.platform.ActReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Act"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ActRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ActReply.getDefaultInstance()))
              .setSchemaDescriptor(new TasksMethodDescriptorSupplier("Act"))
              .build();
        }
      }
    }
    return getActMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ForgetRequest,
      org.gypsumturn.schema.platform.ForgetReply> getForgetMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Forget",
      requestType = org.gypsumturn.schema.platform.ForgetRequest.class,
      responseType = org.gypsumturn.schema.platform.ForgetReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ForgetRequest,
      org.gypsumturn.schema.platform.ForgetReply> getForgetMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ForgetRequest, org.gypsumturn.schema.platform.ForgetReply> getForgetMethod;
    if ((getForgetMethod = TasksGrpc.getForgetMethod) == null) {
      synchronized (TasksGrpc.class) {
        if ((getForgetMethod = TasksGrpc.getForgetMethod) == null) {
          TasksGrpc.getForgetMethod = getForgetMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.ForgetRequest, org.gypsumturn.schema.platform.ForgetReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Forget"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ForgetRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ForgetReply.getDefaultInstance()))
              .setSchemaDescriptor(new TasksMethodDescriptorSupplier("Forget"))
              .build();
        }
      }
    }
    return getForgetMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static TasksStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TasksStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TasksStub>() {
        @java.lang.Override
        public TasksStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TasksStub(channel, callOptions);
        }
      };
    return TasksStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static TasksBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TasksBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TasksBlockingV2Stub>() {
        @java.lang.Override
        public TasksBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TasksBlockingV2Stub(channel, callOptions);
        }
      };
    return TasksBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static TasksBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TasksBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TasksBlockingStub>() {
        @java.lang.Override
        public TasksBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TasksBlockingStub(channel, callOptions);
        }
      };
    return TasksBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static TasksFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TasksFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TasksFutureStub>() {
        @java.lang.Override
        public TasksFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TasksFutureStub(channel, callOptions);
        }
      };
    return TasksFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void start(org.gypsumturn.schema.platform.StartTaskRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.StartTaskReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStartMethod(), responseObserver);
    }

    /**
     */
    default void renew(org.gypsumturn.schema.platform.RenewTasksRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.WorkerReport> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRenewMethod(), responseObserver);
    }

    /**
     */
    default void act(org.gypsumturn.schema.platform.ActRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ActReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getActMethod(), responseObserver);
    }

    /**
     */
    default void forget(org.gypsumturn.schema.platform.ForgetRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ForgetReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForgetMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Tasks.
   */
  public static abstract class TasksImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return TasksGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Tasks.
   */
  public static final class TasksStub
      extends io.grpc.stub.AbstractAsyncStub<TasksStub> {
    private TasksStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TasksStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TasksStub(channel, callOptions);
    }

    /**
     */
    public void start(org.gypsumturn.schema.platform.StartTaskRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.StartTaskReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStartMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void renew(org.gypsumturn.schema.platform.RenewTasksRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.WorkerReport> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRenewMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void act(org.gypsumturn.schema.platform.ActRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ActReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getActMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void forget(org.gypsumturn.schema.platform.ForgetRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ForgetReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getForgetMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Tasks.
   */
  public static final class TasksBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<TasksBlockingV2Stub> {
    private TasksBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TasksBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TasksBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.StartTaskReply start(org.gypsumturn.schema.platform.StartTaskRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getStartMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.WorkerReport renew(org.gypsumturn.schema.platform.RenewTasksRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRenewMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ActReply act(org.gypsumturn.schema.platform.ActRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getActMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ForgetReply forget(org.gypsumturn.schema.platform.ForgetRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getForgetMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Tasks.
   */
  public static final class TasksBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<TasksBlockingStub> {
    private TasksBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TasksBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TasksBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.StartTaskReply start(org.gypsumturn.schema.platform.StartTaskRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStartMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.WorkerReport renew(org.gypsumturn.schema.platform.RenewTasksRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRenewMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ActReply act(org.gypsumturn.schema.platform.ActRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getActMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.ForgetReply forget(org.gypsumturn.schema.platform.ForgetRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getForgetMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Tasks.
   */
  public static final class TasksFutureStub
      extends io.grpc.stub.AbstractFutureStub<TasksFutureStub> {
    private TasksFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TasksFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TasksFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.StartTaskReply> start(
        org.gypsumturn.schema.platform.StartTaskRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStartMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.WorkerReport> renew(
        org.gypsumturn.schema.platform.RenewTasksRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRenewMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.ActReply> act(
        org.gypsumturn.schema.platform.ActRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getActMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.ForgetReply> forget(
        org.gypsumturn.schema.platform.ForgetRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getForgetMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_START = 0;
  private static final int METHODID_RENEW = 1;
  private static final int METHODID_ACT = 2;
  private static final int METHODID_FORGET = 3;

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
        case METHODID_START:
          serviceImpl.start((org.gypsumturn.schema.platform.StartTaskRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.StartTaskReply>) responseObserver);
          break;
        case METHODID_RENEW:
          serviceImpl.renew((org.gypsumturn.schema.platform.RenewTasksRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.WorkerReport>) responseObserver);
          break;
        case METHODID_ACT:
          serviceImpl.act((org.gypsumturn.schema.platform.ActRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ActReply>) responseObserver);
          break;
        case METHODID_FORGET:
          serviceImpl.forget((org.gypsumturn.schema.platform.ForgetRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.ForgetReply>) responseObserver);
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
          getStartMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.StartTaskRequest,
              org.gypsumturn.schema.platform.StartTaskReply>(
                service, METHODID_START)))
        .addMethod(
          getRenewMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.RenewTasksRequest,
              org.gypsumturn.schema.platform.WorkerReport>(
                service, METHODID_RENEW)))
        .addMethod(
          getActMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.ActRequest,
              org.gypsumturn.schema.platform.ActReply>(
                service, METHODID_ACT)))
        .addMethod(
          getForgetMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.ForgetRequest,
              org.gypsumturn.schema.platform.ForgetReply>(
                service, METHODID_FORGET)))
        .build();
  }

  private static abstract class TasksBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    TasksBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.platform.Platform.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Tasks");
    }
  }

  private static final class TasksFileDescriptorSupplier
      extends TasksBaseDescriptorSupplier {
    TasksFileDescriptorSupplier() {}
  }

  private static final class TasksMethodDescriptorSupplier
      extends TasksBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    TasksMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (TasksGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new TasksFileDescriptorSupplier())
              .addMethod(getStartMethod())
              .addMethod(getRenewMethod())
              .addMethod(getActMethod())
              .addMethod(getForgetMethod())
              .build();
        }
      }
    }
    return result;
  }
}
