package org.gypsumturn.schema.platform;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class TableGrpc {

  private TableGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.platform.v1.Table";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ReadRequest,
      org.gypsumturn.schema.platform.RowsReply> getReadMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Read",
      requestType = org.gypsumturn.schema.platform.ReadRequest.class,
      responseType = org.gypsumturn.schema.platform.RowsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ReadRequest,
      org.gypsumturn.schema.platform.RowsReply> getReadMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ReadRequest, org.gypsumturn.schema.platform.RowsReply> getReadMethod;
    if ((getReadMethod = TableGrpc.getReadMethod) == null) {
      synchronized (TableGrpc.class) {
        if ((getReadMethod = TableGrpc.getReadMethod) == null) {
          TableGrpc.getReadMethod = getReadMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.ReadRequest, org.gypsumturn.schema.platform.RowsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Read"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ReadRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RowsReply.getDefaultInstance()))
              .setSchemaDescriptor(new TableMethodDescriptorSupplier("Read"))
              .build();
        }
      }
    }
    return getReadMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ScanRequest,
      org.gypsumturn.schema.platform.RowsReply> getScanMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Scan",
      requestType = org.gypsumturn.schema.platform.ScanRequest.class,
      responseType = org.gypsumturn.schema.platform.RowsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ScanRequest,
      org.gypsumturn.schema.platform.RowsReply> getScanMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.ScanRequest, org.gypsumturn.schema.platform.RowsReply> getScanMethod;
    if ((getScanMethod = TableGrpc.getScanMethod) == null) {
      synchronized (TableGrpc.class) {
        if ((getScanMethod = TableGrpc.getScanMethod) == null) {
          TableGrpc.getScanMethod = getScanMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.ScanRequest, org.gypsumturn.schema.platform.RowsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Scan"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.ScanRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.RowsReply.getDefaultInstance()))
              .setSchemaDescriptor(new TableMethodDescriptorSupplier("Scan"))
              .build();
        }
      }
    }
    return getScanMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.CommitRequest,
      org.gypsumturn.schema.platform.CommitReply> getCommitMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Commit",
      requestType = org.gypsumturn.schema.platform.CommitRequest.class,
      responseType = org.gypsumturn.schema.platform.CommitReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.CommitRequest,
      org.gypsumturn.schema.platform.CommitReply> getCommitMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.platform.CommitRequest, org.gypsumturn.schema.platform.CommitReply> getCommitMethod;
    if ((getCommitMethod = TableGrpc.getCommitMethod) == null) {
      synchronized (TableGrpc.class) {
        if ((getCommitMethod = TableGrpc.getCommitMethod) == null) {
          TableGrpc.getCommitMethod = getCommitMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.platform.CommitRequest, org.gypsumturn.schema.platform.CommitReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Commit"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.CommitRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.platform.CommitReply.getDefaultInstance()))
              .setSchemaDescriptor(new TableMethodDescriptorSupplier("Commit"))
              .build();
        }
      }
    }
    return getCommitMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static TableStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TableStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TableStub>() {
        @java.lang.Override
        public TableStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TableStub(channel, callOptions);
        }
      };
    return TableStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static TableBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TableBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TableBlockingV2Stub>() {
        @java.lang.Override
        public TableBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TableBlockingV2Stub(channel, callOptions);
        }
      };
    return TableBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static TableBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TableBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TableBlockingStub>() {
        @java.lang.Override
        public TableBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TableBlockingStub(channel, callOptions);
        }
      };
    return TableBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static TableFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<TableFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<TableFutureStub>() {
        @java.lang.Override
        public TableFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new TableFutureStub(channel, callOptions);
        }
      };
    return TableFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void read(org.gypsumturn.schema.platform.ReadRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RowsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReadMethod(), responseObserver);
    }

    /**
     */
    default void scan(org.gypsumturn.schema.platform.ScanRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RowsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getScanMethod(), responseObserver);
    }

    /**
     */
    default void commit(org.gypsumturn.schema.platform.CommitRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.CommitReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCommitMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Table.
   */
  public static abstract class TableImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return TableGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Table.
   */
  public static final class TableStub
      extends io.grpc.stub.AbstractAsyncStub<TableStub> {
    private TableStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TableStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TableStub(channel, callOptions);
    }

    /**
     */
    public void read(org.gypsumturn.schema.platform.ReadRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RowsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReadMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void scan(org.gypsumturn.schema.platform.ScanRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RowsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getScanMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void commit(org.gypsumturn.schema.platform.CommitRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.CommitReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCommitMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Table.
   */
  public static final class TableBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<TableBlockingV2Stub> {
    private TableBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TableBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TableBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RowsReply read(org.gypsumturn.schema.platform.ReadRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReadMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RowsReply scan(org.gypsumturn.schema.platform.ScanRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getScanMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.CommitReply commit(org.gypsumturn.schema.platform.CommitRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getCommitMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Table.
   */
  public static final class TableBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<TableBlockingStub> {
    private TableBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TableBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TableBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RowsReply read(org.gypsumturn.schema.platform.ReadRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.RowsReply scan(org.gypsumturn.schema.platform.ScanRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getScanMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.platform.CommitReply commit(org.gypsumturn.schema.platform.CommitRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCommitMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Table.
   */
  public static final class TableFutureStub
      extends io.grpc.stub.AbstractFutureStub<TableFutureStub> {
    private TableFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected TableFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new TableFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.RowsReply> read(
        org.gypsumturn.schema.platform.ReadRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReadMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.RowsReply> scan(
        org.gypsumturn.schema.platform.ScanRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getScanMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.platform.CommitReply> commit(
        org.gypsumturn.schema.platform.CommitRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCommitMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_READ = 0;
  private static final int METHODID_SCAN = 1;
  private static final int METHODID_COMMIT = 2;

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
        case METHODID_READ:
          serviceImpl.read((org.gypsumturn.schema.platform.ReadRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RowsReply>) responseObserver);
          break;
        case METHODID_SCAN:
          serviceImpl.scan((org.gypsumturn.schema.platform.ScanRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.RowsReply>) responseObserver);
          break;
        case METHODID_COMMIT:
          serviceImpl.commit((org.gypsumturn.schema.platform.CommitRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.platform.CommitReply>) responseObserver);
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
          getReadMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.ReadRequest,
              org.gypsumturn.schema.platform.RowsReply>(
                service, METHODID_READ)))
        .addMethod(
          getScanMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.ScanRequest,
              org.gypsumturn.schema.platform.RowsReply>(
                service, METHODID_SCAN)))
        .addMethod(
          getCommitMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.platform.CommitRequest,
              org.gypsumturn.schema.platform.CommitReply>(
                service, METHODID_COMMIT)))
        .build();
  }

  private static abstract class TableBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    TableBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.platform.Platform.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Table");
    }
  }

  private static final class TableFileDescriptorSupplier
      extends TableBaseDescriptorSupplier {
    TableFileDescriptorSupplier() {}
  }

  private static final class TableMethodDescriptorSupplier
      extends TableBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    TableMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (TableGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new TableFileDescriptorSupplier())
              .addMethod(getReadMethod())
              .addMethod(getScanMethod())
              .addMethod(getCommitMethod())
              .build();
        }
      }
    }
    return result;
  }
}
