package org.gypsumturn.schema.admin;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class AdminGrpc {

  private AdminGrpc() {}

  public static final java.lang.String SERVICE_NAME = "gypsumturn.admin.v1.Admin";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListPoolsRequest,
      org.gypsumturn.schema.admin.ListPoolsReply> getListPoolsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListPools",
      requestType = org.gypsumturn.schema.admin.ListPoolsRequest.class,
      responseType = org.gypsumturn.schema.admin.ListPoolsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListPoolsRequest,
      org.gypsumturn.schema.admin.ListPoolsReply> getListPoolsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListPoolsRequest, org.gypsumturn.schema.admin.ListPoolsReply> getListPoolsMethod;
    if ((getListPoolsMethod = AdminGrpc.getListPoolsMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListPoolsMethod = AdminGrpc.getListPoolsMethod) == null) {
          AdminGrpc.getListPoolsMethod = getListPoolsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ListPoolsRequest, org.gypsumturn.schema.admin.ListPoolsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListPools"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListPoolsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListPoolsReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListPools"))
              .build();
        }
      }
    }
    return getListPoolsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutPoolRequest,
      org.gypsumturn.schema.admin.MutationReply> getPutPoolMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PutPool",
      requestType = org.gypsumturn.schema.admin.PutPoolRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutPoolRequest,
      org.gypsumturn.schema.admin.MutationReply> getPutPoolMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutPoolRequest, org.gypsumturn.schema.admin.MutationReply> getPutPoolMethod;
    if ((getPutPoolMethod = AdminGrpc.getPutPoolMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getPutPoolMethod = AdminGrpc.getPutPoolMethod) == null) {
          AdminGrpc.getPutPoolMethod = getPutPoolMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.PutPoolRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PutPool"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.PutPoolRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("PutPool"))
              .build();
        }
      }
    }
    return getPutPoolMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getDeletePoolMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "DeletePool",
      requestType = org.gypsumturn.schema.admin.DeleteRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getDeletePoolMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply> getDeletePoolMethod;
    if ((getDeletePoolMethod = AdminGrpc.getDeletePoolMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getDeletePoolMethod = AdminGrpc.getDeletePoolMethod) == null) {
          AdminGrpc.getDeletePoolMethod = getDeletePoolMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "DeletePool"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.DeleteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("DeletePool"))
              .build();
        }
      }
    }
    return getDeletePoolMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.SetBudgetRequest,
      org.gypsumturn.schema.admin.MutationReply> getSetBudgetMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SetBudget",
      requestType = org.gypsumturn.schema.admin.SetBudgetRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.SetBudgetRequest,
      org.gypsumturn.schema.admin.MutationReply> getSetBudgetMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.SetBudgetRequest, org.gypsumturn.schema.admin.MutationReply> getSetBudgetMethod;
    if ((getSetBudgetMethod = AdminGrpc.getSetBudgetMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getSetBudgetMethod = AdminGrpc.getSetBudgetMethod) == null) {
          AdminGrpc.getSetBudgetMethod = getSetBudgetMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.SetBudgetRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SetBudget"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.SetBudgetRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("SetBudget"))
              .build();
        }
      }
    }
    return getSetBudgetMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListServicesRequest,
      org.gypsumturn.schema.admin.ListServicesReply> getListServicesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListServices",
      requestType = org.gypsumturn.schema.admin.ListServicesRequest.class,
      responseType = org.gypsumturn.schema.admin.ListServicesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListServicesRequest,
      org.gypsumturn.schema.admin.ListServicesReply> getListServicesMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListServicesRequest, org.gypsumturn.schema.admin.ListServicesReply> getListServicesMethod;
    if ((getListServicesMethod = AdminGrpc.getListServicesMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListServicesMethod = AdminGrpc.getListServicesMethod) == null) {
          AdminGrpc.getListServicesMethod = getListServicesMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ListServicesRequest, org.gypsumturn.schema.admin.ListServicesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListServices"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListServicesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListServicesReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListServices"))
              .build();
        }
      }
    }
    return getListServicesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutServiceRequest,
      org.gypsumturn.schema.admin.MutationReply> getPutServiceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PutService",
      requestType = org.gypsumturn.schema.admin.PutServiceRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutServiceRequest,
      org.gypsumturn.schema.admin.MutationReply> getPutServiceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutServiceRequest, org.gypsumturn.schema.admin.MutationReply> getPutServiceMethod;
    if ((getPutServiceMethod = AdminGrpc.getPutServiceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getPutServiceMethod = AdminGrpc.getPutServiceMethod) == null) {
          AdminGrpc.getPutServiceMethod = getPutServiceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.PutServiceRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PutService"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.PutServiceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("PutService"))
              .build();
        }
      }
    }
    return getPutServiceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getDeleteServiceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "DeleteService",
      requestType = org.gypsumturn.schema.admin.DeleteRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getDeleteServiceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply> getDeleteServiceMethod;
    if ((getDeleteServiceMethod = AdminGrpc.getDeleteServiceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getDeleteServiceMethod = AdminGrpc.getDeleteServiceMethod) == null) {
          AdminGrpc.getDeleteServiceMethod = getDeleteServiceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "DeleteService"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.DeleteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("DeleteService"))
              .build();
        }
      }
    }
    return getDeleteServiceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListTeamsRequest,
      org.gypsumturn.schema.admin.ListTeamsReply> getListTeamsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListTeams",
      requestType = org.gypsumturn.schema.admin.ListTeamsRequest.class,
      responseType = org.gypsumturn.schema.admin.ListTeamsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListTeamsRequest,
      org.gypsumturn.schema.admin.ListTeamsReply> getListTeamsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListTeamsRequest, org.gypsumturn.schema.admin.ListTeamsReply> getListTeamsMethod;
    if ((getListTeamsMethod = AdminGrpc.getListTeamsMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListTeamsMethod = AdminGrpc.getListTeamsMethod) == null) {
          AdminGrpc.getListTeamsMethod = getListTeamsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ListTeamsRequest, org.gypsumturn.schema.admin.ListTeamsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListTeams"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListTeamsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListTeamsReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListTeams"))
              .build();
        }
      }
    }
    return getListTeamsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutTeamRequest,
      org.gypsumturn.schema.admin.MutationReply> getPutTeamMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PutTeam",
      requestType = org.gypsumturn.schema.admin.PutTeamRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutTeamRequest,
      org.gypsumturn.schema.admin.MutationReply> getPutTeamMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.PutTeamRequest, org.gypsumturn.schema.admin.MutationReply> getPutTeamMethod;
    if ((getPutTeamMethod = AdminGrpc.getPutTeamMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getPutTeamMethod = AdminGrpc.getPutTeamMethod) == null) {
          AdminGrpc.getPutTeamMethod = getPutTeamMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.PutTeamRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PutTeam"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.PutTeamRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("PutTeam"))
              .build();
        }
      }
    }
    return getPutTeamMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getDeleteTeamMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "DeleteTeam",
      requestType = org.gypsumturn.schema.admin.DeleteRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getDeleteTeamMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply> getDeleteTeamMethod;
    if ((getDeleteTeamMethod = AdminGrpc.getDeleteTeamMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getDeleteTeamMethod = AdminGrpc.getDeleteTeamMethod) == null) {
          AdminGrpc.getDeleteTeamMethod = getDeleteTeamMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "DeleteTeam"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.DeleteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("DeleteTeam"))
              .build();
        }
      }
    }
    return getDeleteTeamMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListInstancesRequest,
      org.gypsumturn.schema.admin.ListInstancesReply> getListInstancesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListInstances",
      requestType = org.gypsumturn.schema.admin.ListInstancesRequest.class,
      responseType = org.gypsumturn.schema.admin.ListInstancesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListInstancesRequest,
      org.gypsumturn.schema.admin.ListInstancesReply> getListInstancesMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListInstancesRequest, org.gypsumturn.schema.admin.ListInstancesReply> getListInstancesMethod;
    if ((getListInstancesMethod = AdminGrpc.getListInstancesMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListInstancesMethod = AdminGrpc.getListInstancesMethod) == null) {
          AdminGrpc.getListInstancesMethod = getListInstancesMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ListInstancesRequest, org.gypsumturn.schema.admin.ListInstancesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListInstances"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListInstancesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListInstancesReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListInstances"))
              .build();
        }
      }
    }
    return getListInstancesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.AddInstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getAddInstanceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "AddInstance",
      requestType = org.gypsumturn.schema.admin.AddInstanceRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.AddInstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getAddInstanceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.AddInstanceRequest, org.gypsumturn.schema.admin.MutationReply> getAddInstanceMethod;
    if ((getAddInstanceMethod = AdminGrpc.getAddInstanceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getAddInstanceMethod = AdminGrpc.getAddInstanceMethod) == null) {
          AdminGrpc.getAddInstanceMethod = getAddInstanceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.AddInstanceRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "AddInstance"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.AddInstanceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("AddInstance"))
              .build();
        }
      }
    }
    return getAddInstanceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getRemoveInstanceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "RemoveInstance",
      requestType = org.gypsumturn.schema.admin.DeleteRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest,
      org.gypsumturn.schema.admin.MutationReply> getRemoveInstanceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply> getRemoveInstanceMethod;
    if ((getRemoveInstanceMethod = AdminGrpc.getRemoveInstanceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getRemoveInstanceMethod = AdminGrpc.getRemoveInstanceMethod) == null) {
          AdminGrpc.getRemoveInstanceMethod = getRemoveInstanceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.DeleteRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "RemoveInstance"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.DeleteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("RemoveInstance"))
              .build();
        }
      }
    }
    return getRemoveInstanceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getDrainInstanceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "DrainInstance",
      requestType = org.gypsumturn.schema.admin.InstanceRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getDrainInstanceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest, org.gypsumturn.schema.admin.MutationReply> getDrainInstanceMethod;
    if ((getDrainInstanceMethod = AdminGrpc.getDrainInstanceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getDrainInstanceMethod = AdminGrpc.getDrainInstanceMethod) == null) {
          AdminGrpc.getDrainInstanceMethod = getDrainInstanceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.InstanceRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "DrainInstance"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.InstanceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("DrainInstance"))
              .build();
        }
      }
    }
    return getDrainInstanceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getReturnInstanceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReturnInstance",
      requestType = org.gypsumturn.schema.admin.InstanceRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getReturnInstanceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest, org.gypsumturn.schema.admin.MutationReply> getReturnInstanceMethod;
    if ((getReturnInstanceMethod = AdminGrpc.getReturnInstanceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getReturnInstanceMethod = AdminGrpc.getReturnInstanceMethod) == null) {
          AdminGrpc.getReturnInstanceMethod = getReturnInstanceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.InstanceRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReturnInstance"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.InstanceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ReturnInstance"))
              .build();
        }
      }
    }
    return getReturnInstanceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getRebootInstanceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "RebootInstance",
      requestType = org.gypsumturn.schema.admin.InstanceRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getRebootInstanceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.InstanceRequest, org.gypsumturn.schema.admin.MutationReply> getRebootInstanceMethod;
    if ((getRebootInstanceMethod = AdminGrpc.getRebootInstanceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getRebootInstanceMethod = AdminGrpc.getRebootInstanceMethod) == null) {
          AdminGrpc.getRebootInstanceMethod = getRebootInstanceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.InstanceRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "RebootInstance"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.InstanceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("RebootInstance"))
              .build();
        }
      }
    }
    return getRebootInstanceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.MoveInstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getMoveInstanceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "MoveInstance",
      requestType = org.gypsumturn.schema.admin.MoveInstanceRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.MoveInstanceRequest,
      org.gypsumturn.schema.admin.MutationReply> getMoveInstanceMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.MoveInstanceRequest, org.gypsumturn.schema.admin.MutationReply> getMoveInstanceMethod;
    if ((getMoveInstanceMethod = AdminGrpc.getMoveInstanceMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getMoveInstanceMethod = AdminGrpc.getMoveInstanceMethod) == null) {
          AdminGrpc.getMoveInstanceMethod = getMoveInstanceMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.MoveInstanceRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "MoveInstance"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MoveInstanceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("MoveInstance"))
              .build();
        }
      }
    }
    return getMoveInstanceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListWavesRequest,
      org.gypsumturn.schema.admin.ListWavesReply> getListWavesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListWaves",
      requestType = org.gypsumturn.schema.admin.ListWavesRequest.class,
      responseType = org.gypsumturn.schema.admin.ListWavesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListWavesRequest,
      org.gypsumturn.schema.admin.ListWavesReply> getListWavesMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListWavesRequest, org.gypsumturn.schema.admin.ListWavesReply> getListWavesMethod;
    if ((getListWavesMethod = AdminGrpc.getListWavesMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListWavesMethod = AdminGrpc.getListWavesMethod) == null) {
          AdminGrpc.getListWavesMethod = getListWavesMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ListWavesRequest, org.gypsumturn.schema.admin.ListWavesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListWaves"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListWavesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListWavesReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListWaves"))
              .build();
        }
      }
    }
    return getListWavesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.StartWaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getStartWaveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "StartWave",
      requestType = org.gypsumturn.schema.admin.StartWaveRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.StartWaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getStartWaveMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.StartWaveRequest, org.gypsumturn.schema.admin.MutationReply> getStartWaveMethod;
    if ((getStartWaveMethod = AdminGrpc.getStartWaveMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getStartWaveMethod = AdminGrpc.getStartWaveMethod) == null) {
          AdminGrpc.getStartWaveMethod = getStartWaveMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.StartWaveRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "StartWave"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.StartWaveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("StartWave"))
              .build();
        }
      }
    }
    return getStartWaveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getPauseWaveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PauseWave",
      requestType = org.gypsumturn.schema.admin.WaveRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getPauseWaveMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest, org.gypsumturn.schema.admin.MutationReply> getPauseWaveMethod;
    if ((getPauseWaveMethod = AdminGrpc.getPauseWaveMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getPauseWaveMethod = AdminGrpc.getPauseWaveMethod) == null) {
          AdminGrpc.getPauseWaveMethod = getPauseWaveMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.WaveRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PauseWave"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.WaveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("PauseWave"))
              .build();
        }
      }
    }
    return getPauseWaveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getResumeWaveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ResumeWave",
      requestType = org.gypsumturn.schema.admin.WaveRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getResumeWaveMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest, org.gypsumturn.schema.admin.MutationReply> getResumeWaveMethod;
    if ((getResumeWaveMethod = AdminGrpc.getResumeWaveMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getResumeWaveMethod = AdminGrpc.getResumeWaveMethod) == null) {
          AdminGrpc.getResumeWaveMethod = getResumeWaveMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.WaveRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ResumeWave"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.WaveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ResumeWave"))
              .build();
        }
      }
    }
    return getResumeWaveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getAbortWaveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "AbortWave",
      requestType = org.gypsumturn.schema.admin.WaveRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest,
      org.gypsumturn.schema.admin.MutationReply> getAbortWaveMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WaveRequest, org.gypsumturn.schema.admin.MutationReply> getAbortWaveMethod;
    if ((getAbortWaveMethod = AdminGrpc.getAbortWaveMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getAbortWaveMethod = AdminGrpc.getAbortWaveMethod) == null) {
          AdminGrpc.getAbortWaveMethod = getAbortWaveMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.WaveRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "AbortWave"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.WaveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("AbortWave"))
              .build();
        }
      }
    }
    return getAbortWaveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ApplyConfigurationRequest,
      org.gypsumturn.schema.admin.MutationReply> getApplyConfigurationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ApplyConfiguration",
      requestType = org.gypsumturn.schema.admin.ApplyConfigurationRequest.class,
      responseType = org.gypsumturn.schema.admin.MutationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ApplyConfigurationRequest,
      org.gypsumturn.schema.admin.MutationReply> getApplyConfigurationMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ApplyConfigurationRequest, org.gypsumturn.schema.admin.MutationReply> getApplyConfigurationMethod;
    if ((getApplyConfigurationMethod = AdminGrpc.getApplyConfigurationMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getApplyConfigurationMethod = AdminGrpc.getApplyConfigurationMethod) == null) {
          AdminGrpc.getApplyConfigurationMethod = getApplyConfigurationMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ApplyConfigurationRequest, org.gypsumturn.schema.admin.MutationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ApplyConfiguration"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ApplyConfigurationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.MutationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ApplyConfiguration"))
              .build();
        }
      }
    }
    return getApplyConfigurationMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetRolloutRequest,
      org.gypsumturn.schema.admin.GetRolloutReply> getGetRolloutMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetRollout",
      requestType = org.gypsumturn.schema.admin.GetRolloutRequest.class,
      responseType = org.gypsumturn.schema.admin.GetRolloutReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetRolloutRequest,
      org.gypsumturn.schema.admin.GetRolloutReply> getGetRolloutMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetRolloutRequest, org.gypsumturn.schema.admin.GetRolloutReply> getGetRolloutMethod;
    if ((getGetRolloutMethod = AdminGrpc.getGetRolloutMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getGetRolloutMethod = AdminGrpc.getGetRolloutMethod) == null) {
          AdminGrpc.getGetRolloutMethod = getGetRolloutMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.GetRolloutRequest, org.gypsumturn.schema.admin.GetRolloutReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetRollout"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.GetRolloutRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.GetRolloutReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("GetRollout"))
              .build();
        }
      }
    }
    return getGetRolloutMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.SubmitJobRequest,
      org.gypsumturn.schema.admin.SubmitJobReply> getSubmitJobMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SubmitJob",
      requestType = org.gypsumturn.schema.admin.SubmitJobRequest.class,
      responseType = org.gypsumturn.schema.admin.SubmitJobReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.SubmitJobRequest,
      org.gypsumturn.schema.admin.SubmitJobReply> getSubmitJobMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.SubmitJobRequest, org.gypsumturn.schema.admin.SubmitJobReply> getSubmitJobMethod;
    if ((getSubmitJobMethod = AdminGrpc.getSubmitJobMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getSubmitJobMethod = AdminGrpc.getSubmitJobMethod) == null) {
          AdminGrpc.getSubmitJobMethod = getSubmitJobMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.SubmitJobRequest, org.gypsumturn.schema.admin.SubmitJobReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SubmitJob"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.SubmitJobRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.SubmitJobReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("SubmitJob"))
              .build();
        }
      }
    }
    return getSubmitJobMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetJobRequest,
      org.gypsumturn.schema.admin.Job> getGetJobMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetJob",
      requestType = org.gypsumturn.schema.admin.GetJobRequest.class,
      responseType = org.gypsumturn.schema.admin.Job.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetJobRequest,
      org.gypsumturn.schema.admin.Job> getGetJobMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetJobRequest, org.gypsumturn.schema.admin.Job> getGetJobMethod;
    if ((getGetJobMethod = AdminGrpc.getGetJobMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getGetJobMethod = AdminGrpc.getGetJobMethod) == null) {
          AdminGrpc.getGetJobMethod = getGetJobMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.GetJobRequest, org.gypsumturn.schema.admin.Job>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetJob"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.GetJobRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.Job.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("GetJob"))
              .build();
        }
      }
    }
    return getGetJobMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListJobsRequest,
      org.gypsumturn.schema.admin.ListJobsReply> getListJobsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListJobs",
      requestType = org.gypsumturn.schema.admin.ListJobsRequest.class,
      responseType = org.gypsumturn.schema.admin.ListJobsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListJobsRequest,
      org.gypsumturn.schema.admin.ListJobsReply> getListJobsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.ListJobsRequest, org.gypsumturn.schema.admin.ListJobsReply> getListJobsMethod;
    if ((getListJobsMethod = AdminGrpc.getListJobsMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListJobsMethod = AdminGrpc.getListJobsMethod) == null) {
          AdminGrpc.getListJobsMethod = getListJobsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.ListJobsRequest, org.gypsumturn.schema.admin.ListJobsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListJobs"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListJobsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.ListJobsReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListJobs"))
              .build();
        }
      }
    }
    return getListJobsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.CancelJobsRequest,
      org.gypsumturn.schema.admin.CancelJobsReply> getCancelJobsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "CancelJobs",
      requestType = org.gypsumturn.schema.admin.CancelJobsRequest.class,
      responseType = org.gypsumturn.schema.admin.CancelJobsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.CancelJobsRequest,
      org.gypsumturn.schema.admin.CancelJobsReply> getCancelJobsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.CancelJobsRequest, org.gypsumturn.schema.admin.CancelJobsReply> getCancelJobsMethod;
    if ((getCancelJobsMethod = AdminGrpc.getCancelJobsMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getCancelJobsMethod = AdminGrpc.getCancelJobsMethod) == null) {
          AdminGrpc.getCancelJobsMethod = getCancelJobsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.CancelJobsRequest, org.gypsumturn.schema.admin.CancelJobsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "CancelJobs"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.CancelJobsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.CancelJobsReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("CancelJobs"))
              .build();
        }
      }
    }
    return getCancelJobsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WatchEventsRequest,
      org.gypsumturn.schema.admin.Event> getWatchEventsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "WatchEvents",
      requestType = org.gypsumturn.schema.admin.WatchEventsRequest.class,
      responseType = org.gypsumturn.schema.admin.Event.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WatchEventsRequest,
      org.gypsumturn.schema.admin.Event> getWatchEventsMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.WatchEventsRequest, org.gypsumturn.schema.admin.Event> getWatchEventsMethod;
    if ((getWatchEventsMethod = AdminGrpc.getWatchEventsMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getWatchEventsMethod = AdminGrpc.getWatchEventsMethod) == null) {
          AdminGrpc.getWatchEventsMethod = getWatchEventsMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.WatchEventsRequest, org.gypsumturn.schema.admin.Event>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "WatchEvents"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.WatchEventsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.Event.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("WatchEvents"))
              .build();
        }
      }
    }
    return getWatchEventsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetStatusRequest,
      org.gypsumturn.schema.admin.GetStatusReply> getGetStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetStatus",
      requestType = org.gypsumturn.schema.admin.GetStatusRequest.class,
      responseType = org.gypsumturn.schema.admin.GetStatusReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetStatusRequest,
      org.gypsumturn.schema.admin.GetStatusReply> getGetStatusMethod() {
    io.grpc.MethodDescriptor<org.gypsumturn.schema.admin.GetStatusRequest, org.gypsumturn.schema.admin.GetStatusReply> getGetStatusMethod;
    if ((getGetStatusMethod = AdminGrpc.getGetStatusMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getGetStatusMethod = AdminGrpc.getGetStatusMethod) == null) {
          AdminGrpc.getGetStatusMethod = getGetStatusMethod =
              io.grpc.MethodDescriptor.<org.gypsumturn.schema.admin.GetStatusRequest, org.gypsumturn.schema.admin.GetStatusReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetStatus"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.GetStatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.gypsumturn.schema.admin.GetStatusReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("GetStatus"))
              .build();
        }
      }
    }
    return getGetStatusMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static AdminStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminStub>() {
        @java.lang.Override
        public AdminStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminStub(channel, callOptions);
        }
      };
    return AdminStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static AdminBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminBlockingV2Stub>() {
        @java.lang.Override
        public AdminBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminBlockingV2Stub(channel, callOptions);
        }
      };
    return AdminBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static AdminBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminBlockingStub>() {
        @java.lang.Override
        public AdminBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminBlockingStub(channel, callOptions);
        }
      };
    return AdminBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static AdminFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminFutureStub>() {
        @java.lang.Override
        public AdminFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminFutureStub(channel, callOptions);
        }
      };
    return AdminFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void listPools(org.gypsumturn.schema.admin.ListPoolsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListPoolsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListPoolsMethod(), responseObserver);
    }

    /**
     */
    default void putPool(org.gypsumturn.schema.admin.PutPoolRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPutPoolMethod(), responseObserver);
    }

    /**
     */
    default void deletePool(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDeletePoolMethod(), responseObserver);
    }

    /**
     */
    default void setBudget(org.gypsumturn.schema.admin.SetBudgetRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSetBudgetMethod(), responseObserver);
    }

    /**
     */
    default void listServices(org.gypsumturn.schema.admin.ListServicesRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListServicesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListServicesMethod(), responseObserver);
    }

    /**
     */
    default void putService(org.gypsumturn.schema.admin.PutServiceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPutServiceMethod(), responseObserver);
    }

    /**
     */
    default void deleteService(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDeleteServiceMethod(), responseObserver);
    }

    /**
     */
    default void listTeams(org.gypsumturn.schema.admin.ListTeamsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListTeamsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListTeamsMethod(), responseObserver);
    }

    /**
     */
    default void putTeam(org.gypsumturn.schema.admin.PutTeamRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPutTeamMethod(), responseObserver);
    }

    /**
     */
    default void deleteTeam(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDeleteTeamMethod(), responseObserver);
    }

    /**
     */
    default void listInstances(org.gypsumturn.schema.admin.ListInstancesRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListInstancesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListInstancesMethod(), responseObserver);
    }

    /**
     */
    default void addInstance(org.gypsumturn.schema.admin.AddInstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAddInstanceMethod(), responseObserver);
    }

    /**
     */
    default void removeInstance(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRemoveInstanceMethod(), responseObserver);
    }

    /**
     */
    default void drainInstance(org.gypsumturn.schema.admin.InstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDrainInstanceMethod(), responseObserver);
    }

    /**
     */
    default void returnInstance(org.gypsumturn.schema.admin.InstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReturnInstanceMethod(), responseObserver);
    }

    /**
     */
    default void rebootInstance(org.gypsumturn.schema.admin.InstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRebootInstanceMethod(), responseObserver);
    }

    /**
     */
    default void moveInstance(org.gypsumturn.schema.admin.MoveInstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getMoveInstanceMethod(), responseObserver);
    }

    /**
     */
    default void listWaves(org.gypsumturn.schema.admin.ListWavesRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListWavesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListWavesMethod(), responseObserver);
    }

    /**
     */
    default void startWave(org.gypsumturn.schema.admin.StartWaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStartWaveMethod(), responseObserver);
    }

    /**
     */
    default void pauseWave(org.gypsumturn.schema.admin.WaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPauseWaveMethod(), responseObserver);
    }

    /**
     */
    default void resumeWave(org.gypsumturn.schema.admin.WaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getResumeWaveMethod(), responseObserver);
    }

    /**
     */
    default void abortWave(org.gypsumturn.schema.admin.WaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAbortWaveMethod(), responseObserver);
    }

    /**
     * <pre>
     * Applies several records as one change: checked as a whole, every error reported at once, all or nothing.
     * </pre>
     */
    default void applyConfiguration(org.gypsumturn.schema.admin.ApplyConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getApplyConfigurationMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells which nodes have a version in force, and why the others lag.
     * </pre>
     */
    default void getRollout(org.gypsumturn.schema.admin.GetRolloutRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.GetRolloutReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetRolloutMethod(), responseObserver);
    }

    /**
     */
    default void submitJob(org.gypsumturn.schema.admin.SubmitJobRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.SubmitJobReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSubmitJobMethod(), responseObserver);
    }

    /**
     */
    default void getJob(org.gypsumturn.schema.admin.GetJobRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.Job> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetJobMethod(), responseObserver);
    }

    /**
     */
    default void listJobs(org.gypsumturn.schema.admin.ListJobsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListJobsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListJobsMethod(), responseObserver);
    }

    /**
     */
    default void cancelJobs(org.gypsumturn.schema.admin.CancelJobsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.CancelJobsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCancelJobsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Sends each accepted change after a version, in order, as long as the caller listens.
     * </pre>
     */
    default void watchEvents(org.gypsumturn.schema.admin.WatchEventsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.Event> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWatchEventsMethod(), responseObserver);
    }

    /**
     */
    default void getStatus(org.gypsumturn.schema.admin.GetStatusRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.GetStatusReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetStatusMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Admin.
   */
  public static abstract class AdminImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return AdminGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Admin.
   */
  public static final class AdminStub
      extends io.grpc.stub.AbstractAsyncStub<AdminStub> {
    private AdminStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminStub(channel, callOptions);
    }

    /**
     */
    public void listPools(org.gypsumturn.schema.admin.ListPoolsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListPoolsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListPoolsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void putPool(org.gypsumturn.schema.admin.PutPoolRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPutPoolMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void deletePool(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDeletePoolMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void setBudget(org.gypsumturn.schema.admin.SetBudgetRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSetBudgetMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void listServices(org.gypsumturn.schema.admin.ListServicesRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListServicesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListServicesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void putService(org.gypsumturn.schema.admin.PutServiceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPutServiceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void deleteService(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDeleteServiceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void listTeams(org.gypsumturn.schema.admin.ListTeamsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListTeamsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListTeamsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void putTeam(org.gypsumturn.schema.admin.PutTeamRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPutTeamMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void deleteTeam(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDeleteTeamMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void listInstances(org.gypsumturn.schema.admin.ListInstancesRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListInstancesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListInstancesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void addInstance(org.gypsumturn.schema.admin.AddInstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAddInstanceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void removeInstance(org.gypsumturn.schema.admin.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRemoveInstanceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void drainInstance(org.gypsumturn.schema.admin.InstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDrainInstanceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void returnInstance(org.gypsumturn.schema.admin.InstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReturnInstanceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void rebootInstance(org.gypsumturn.schema.admin.InstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRebootInstanceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void moveInstance(org.gypsumturn.schema.admin.MoveInstanceRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getMoveInstanceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void listWaves(org.gypsumturn.schema.admin.ListWavesRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListWavesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListWavesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void startWave(org.gypsumturn.schema.admin.StartWaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStartWaveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void pauseWave(org.gypsumturn.schema.admin.WaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPauseWaveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void resumeWave(org.gypsumturn.schema.admin.WaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getResumeWaveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void abortWave(org.gypsumturn.schema.admin.WaveRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAbortWaveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Applies several records as one change: checked as a whole, every error reported at once, all or nothing.
     * </pre>
     */
    public void applyConfiguration(org.gypsumturn.schema.admin.ApplyConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getApplyConfigurationMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells which nodes have a version in force, and why the others lag.
     * </pre>
     */
    public void getRollout(org.gypsumturn.schema.admin.GetRolloutRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.GetRolloutReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetRolloutMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void submitJob(org.gypsumturn.schema.admin.SubmitJobRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.SubmitJobReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSubmitJobMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void getJob(org.gypsumturn.schema.admin.GetJobRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.Job> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetJobMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void listJobs(org.gypsumturn.schema.admin.ListJobsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListJobsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListJobsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void cancelJobs(org.gypsumturn.schema.admin.CancelJobsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.CancelJobsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCancelJobsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Sends each accepted change after a version, in order, as long as the caller listens.
     * </pre>
     */
    public void watchEvents(org.gypsumturn.schema.admin.WatchEventsRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.Event> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getWatchEventsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void getStatus(org.gypsumturn.schema.admin.GetStatusRequest request,
        io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.GetStatusReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Admin.
   */
  public static final class AdminBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<AdminBlockingV2Stub> {
    private AdminBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListPoolsReply listPools(org.gypsumturn.schema.admin.ListPoolsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListPoolsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply putPool(org.gypsumturn.schema.admin.PutPoolRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPutPoolMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply deletePool(org.gypsumturn.schema.admin.DeleteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDeletePoolMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply setBudget(org.gypsumturn.schema.admin.SetBudgetRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSetBudgetMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListServicesReply listServices(org.gypsumturn.schema.admin.ListServicesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListServicesMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply putService(org.gypsumturn.schema.admin.PutServiceRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPutServiceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply deleteService(org.gypsumturn.schema.admin.DeleteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDeleteServiceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListTeamsReply listTeams(org.gypsumturn.schema.admin.ListTeamsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListTeamsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply putTeam(org.gypsumturn.schema.admin.PutTeamRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPutTeamMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply deleteTeam(org.gypsumturn.schema.admin.DeleteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDeleteTeamMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListInstancesReply listInstances(org.gypsumturn.schema.admin.ListInstancesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListInstancesMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply addInstance(org.gypsumturn.schema.admin.AddInstanceRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAddInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply removeInstance(org.gypsumturn.schema.admin.DeleteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRemoveInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply drainInstance(org.gypsumturn.schema.admin.InstanceRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDrainInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply returnInstance(org.gypsumturn.schema.admin.InstanceRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReturnInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply rebootInstance(org.gypsumturn.schema.admin.InstanceRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRebootInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply moveInstance(org.gypsumturn.schema.admin.MoveInstanceRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getMoveInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListWavesReply listWaves(org.gypsumturn.schema.admin.ListWavesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListWavesMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply startWave(org.gypsumturn.schema.admin.StartWaveRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getStartWaveMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply pauseWave(org.gypsumturn.schema.admin.WaveRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPauseWaveMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply resumeWave(org.gypsumturn.schema.admin.WaveRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getResumeWaveMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply abortWave(org.gypsumturn.schema.admin.WaveRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAbortWaveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Applies several records as one change: checked as a whole, every error reported at once, all or nothing.
     * </pre>
     */
    public org.gypsumturn.schema.admin.MutationReply applyConfiguration(org.gypsumturn.schema.admin.ApplyConfigurationRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getApplyConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells which nodes have a version in force, and why the others lag.
     * </pre>
     */
    public org.gypsumturn.schema.admin.GetRolloutReply getRollout(org.gypsumturn.schema.admin.GetRolloutRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetRolloutMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.SubmitJobReply submitJob(org.gypsumturn.schema.admin.SubmitJobRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSubmitJobMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.Job getJob(org.gypsumturn.schema.admin.GetJobRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetJobMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListJobsReply listJobs(org.gypsumturn.schema.admin.ListJobsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListJobsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.CancelJobsReply cancelJobs(org.gypsumturn.schema.admin.CancelJobsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getCancelJobsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sends each accepted change after a version, in order, as long as the caller listens.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.gypsumturn.schema.admin.Event>
        watchEvents(org.gypsumturn.schema.admin.WatchEventsRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getWatchEventsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.GetStatusReply getStatus(org.gypsumturn.schema.admin.GetStatusRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Admin.
   */
  public static final class AdminBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<AdminBlockingStub> {
    private AdminBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListPoolsReply listPools(org.gypsumturn.schema.admin.ListPoolsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListPoolsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply putPool(org.gypsumturn.schema.admin.PutPoolRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPutPoolMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply deletePool(org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDeletePoolMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply setBudget(org.gypsumturn.schema.admin.SetBudgetRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSetBudgetMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListServicesReply listServices(org.gypsumturn.schema.admin.ListServicesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListServicesMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply putService(org.gypsumturn.schema.admin.PutServiceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPutServiceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply deleteService(org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDeleteServiceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListTeamsReply listTeams(org.gypsumturn.schema.admin.ListTeamsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListTeamsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply putTeam(org.gypsumturn.schema.admin.PutTeamRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPutTeamMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply deleteTeam(org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDeleteTeamMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListInstancesReply listInstances(org.gypsumturn.schema.admin.ListInstancesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListInstancesMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply addInstance(org.gypsumturn.schema.admin.AddInstanceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAddInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply removeInstance(org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRemoveInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply drainInstance(org.gypsumturn.schema.admin.InstanceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDrainInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply returnInstance(org.gypsumturn.schema.admin.InstanceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReturnInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply rebootInstance(org.gypsumturn.schema.admin.InstanceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRebootInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply moveInstance(org.gypsumturn.schema.admin.MoveInstanceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getMoveInstanceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListWavesReply listWaves(org.gypsumturn.schema.admin.ListWavesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListWavesMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply startWave(org.gypsumturn.schema.admin.StartWaveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStartWaveMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply pauseWave(org.gypsumturn.schema.admin.WaveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPauseWaveMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply resumeWave(org.gypsumturn.schema.admin.WaveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getResumeWaveMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.MutationReply abortWave(org.gypsumturn.schema.admin.WaveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAbortWaveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Applies several records as one change: checked as a whole, every error reported at once, all or nothing.
     * </pre>
     */
    public org.gypsumturn.schema.admin.MutationReply applyConfiguration(org.gypsumturn.schema.admin.ApplyConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getApplyConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells which nodes have a version in force, and why the others lag.
     * </pre>
     */
    public org.gypsumturn.schema.admin.GetRolloutReply getRollout(org.gypsumturn.schema.admin.GetRolloutRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetRolloutMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.SubmitJobReply submitJob(org.gypsumturn.schema.admin.SubmitJobRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSubmitJobMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.Job getJob(org.gypsumturn.schema.admin.GetJobRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetJobMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.ListJobsReply listJobs(org.gypsumturn.schema.admin.ListJobsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListJobsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.CancelJobsReply cancelJobs(org.gypsumturn.schema.admin.CancelJobsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCancelJobsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sends each accepted change after a version, in order, as long as the caller listens.
     * </pre>
     */
    public java.util.Iterator<org.gypsumturn.schema.admin.Event> watchEvents(
        org.gypsumturn.schema.admin.WatchEventsRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getWatchEventsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.gypsumturn.schema.admin.GetStatusReply getStatus(org.gypsumturn.schema.admin.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Admin.
   */
  public static final class AdminFutureStub
      extends io.grpc.stub.AbstractFutureStub<AdminFutureStub> {
    private AdminFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.ListPoolsReply> listPools(
        org.gypsumturn.schema.admin.ListPoolsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListPoolsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> putPool(
        org.gypsumturn.schema.admin.PutPoolRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPutPoolMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> deletePool(
        org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDeletePoolMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> setBudget(
        org.gypsumturn.schema.admin.SetBudgetRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSetBudgetMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.ListServicesReply> listServices(
        org.gypsumturn.schema.admin.ListServicesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListServicesMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> putService(
        org.gypsumturn.schema.admin.PutServiceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPutServiceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> deleteService(
        org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDeleteServiceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.ListTeamsReply> listTeams(
        org.gypsumturn.schema.admin.ListTeamsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListTeamsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> putTeam(
        org.gypsumturn.schema.admin.PutTeamRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPutTeamMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> deleteTeam(
        org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDeleteTeamMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.ListInstancesReply> listInstances(
        org.gypsumturn.schema.admin.ListInstancesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListInstancesMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> addInstance(
        org.gypsumturn.schema.admin.AddInstanceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAddInstanceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> removeInstance(
        org.gypsumturn.schema.admin.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRemoveInstanceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> drainInstance(
        org.gypsumturn.schema.admin.InstanceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDrainInstanceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> returnInstance(
        org.gypsumturn.schema.admin.InstanceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReturnInstanceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> rebootInstance(
        org.gypsumturn.schema.admin.InstanceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRebootInstanceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> moveInstance(
        org.gypsumturn.schema.admin.MoveInstanceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getMoveInstanceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.ListWavesReply> listWaves(
        org.gypsumturn.schema.admin.ListWavesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListWavesMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> startWave(
        org.gypsumturn.schema.admin.StartWaveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStartWaveMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> pauseWave(
        org.gypsumturn.schema.admin.WaveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPauseWaveMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> resumeWave(
        org.gypsumturn.schema.admin.WaveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getResumeWaveMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> abortWave(
        org.gypsumturn.schema.admin.WaveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAbortWaveMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Applies several records as one change: checked as a whole, every error reported at once, all or nothing.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.MutationReply> applyConfiguration(
        org.gypsumturn.schema.admin.ApplyConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getApplyConfigurationMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells which nodes have a version in force, and why the others lag.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.GetRolloutReply> getRollout(
        org.gypsumturn.schema.admin.GetRolloutRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetRolloutMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.SubmitJobReply> submitJob(
        org.gypsumturn.schema.admin.SubmitJobRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSubmitJobMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.Job> getJob(
        org.gypsumturn.schema.admin.GetJobRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetJobMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.ListJobsReply> listJobs(
        org.gypsumturn.schema.admin.ListJobsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListJobsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.CancelJobsReply> cancelJobs(
        org.gypsumturn.schema.admin.CancelJobsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCancelJobsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.gypsumturn.schema.admin.GetStatusReply> getStatus(
        org.gypsumturn.schema.admin.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_LIST_POOLS = 0;
  private static final int METHODID_PUT_POOL = 1;
  private static final int METHODID_DELETE_POOL = 2;
  private static final int METHODID_SET_BUDGET = 3;
  private static final int METHODID_LIST_SERVICES = 4;
  private static final int METHODID_PUT_SERVICE = 5;
  private static final int METHODID_DELETE_SERVICE = 6;
  private static final int METHODID_LIST_TEAMS = 7;
  private static final int METHODID_PUT_TEAM = 8;
  private static final int METHODID_DELETE_TEAM = 9;
  private static final int METHODID_LIST_INSTANCES = 10;
  private static final int METHODID_ADD_INSTANCE = 11;
  private static final int METHODID_REMOVE_INSTANCE = 12;
  private static final int METHODID_DRAIN_INSTANCE = 13;
  private static final int METHODID_RETURN_INSTANCE = 14;
  private static final int METHODID_REBOOT_INSTANCE = 15;
  private static final int METHODID_MOVE_INSTANCE = 16;
  private static final int METHODID_LIST_WAVES = 17;
  private static final int METHODID_START_WAVE = 18;
  private static final int METHODID_PAUSE_WAVE = 19;
  private static final int METHODID_RESUME_WAVE = 20;
  private static final int METHODID_ABORT_WAVE = 21;
  private static final int METHODID_APPLY_CONFIGURATION = 22;
  private static final int METHODID_GET_ROLLOUT = 23;
  private static final int METHODID_SUBMIT_JOB = 24;
  private static final int METHODID_GET_JOB = 25;
  private static final int METHODID_LIST_JOBS = 26;
  private static final int METHODID_CANCEL_JOBS = 27;
  private static final int METHODID_WATCH_EVENTS = 28;
  private static final int METHODID_GET_STATUS = 29;

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
        case METHODID_LIST_POOLS:
          serviceImpl.listPools((org.gypsumturn.schema.admin.ListPoolsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListPoolsReply>) responseObserver);
          break;
        case METHODID_PUT_POOL:
          serviceImpl.putPool((org.gypsumturn.schema.admin.PutPoolRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_DELETE_POOL:
          serviceImpl.deletePool((org.gypsumturn.schema.admin.DeleteRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_SET_BUDGET:
          serviceImpl.setBudget((org.gypsumturn.schema.admin.SetBudgetRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_LIST_SERVICES:
          serviceImpl.listServices((org.gypsumturn.schema.admin.ListServicesRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListServicesReply>) responseObserver);
          break;
        case METHODID_PUT_SERVICE:
          serviceImpl.putService((org.gypsumturn.schema.admin.PutServiceRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_DELETE_SERVICE:
          serviceImpl.deleteService((org.gypsumturn.schema.admin.DeleteRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_LIST_TEAMS:
          serviceImpl.listTeams((org.gypsumturn.schema.admin.ListTeamsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListTeamsReply>) responseObserver);
          break;
        case METHODID_PUT_TEAM:
          serviceImpl.putTeam((org.gypsumturn.schema.admin.PutTeamRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_DELETE_TEAM:
          serviceImpl.deleteTeam((org.gypsumturn.schema.admin.DeleteRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_LIST_INSTANCES:
          serviceImpl.listInstances((org.gypsumturn.schema.admin.ListInstancesRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListInstancesReply>) responseObserver);
          break;
        case METHODID_ADD_INSTANCE:
          serviceImpl.addInstance((org.gypsumturn.schema.admin.AddInstanceRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_REMOVE_INSTANCE:
          serviceImpl.removeInstance((org.gypsumturn.schema.admin.DeleteRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_DRAIN_INSTANCE:
          serviceImpl.drainInstance((org.gypsumturn.schema.admin.InstanceRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_RETURN_INSTANCE:
          serviceImpl.returnInstance((org.gypsumturn.schema.admin.InstanceRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_REBOOT_INSTANCE:
          serviceImpl.rebootInstance((org.gypsumturn.schema.admin.InstanceRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_MOVE_INSTANCE:
          serviceImpl.moveInstance((org.gypsumturn.schema.admin.MoveInstanceRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_LIST_WAVES:
          serviceImpl.listWaves((org.gypsumturn.schema.admin.ListWavesRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListWavesReply>) responseObserver);
          break;
        case METHODID_START_WAVE:
          serviceImpl.startWave((org.gypsumturn.schema.admin.StartWaveRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_PAUSE_WAVE:
          serviceImpl.pauseWave((org.gypsumturn.schema.admin.WaveRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_RESUME_WAVE:
          serviceImpl.resumeWave((org.gypsumturn.schema.admin.WaveRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_ABORT_WAVE:
          serviceImpl.abortWave((org.gypsumturn.schema.admin.WaveRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_APPLY_CONFIGURATION:
          serviceImpl.applyConfiguration((org.gypsumturn.schema.admin.ApplyConfigurationRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.MutationReply>) responseObserver);
          break;
        case METHODID_GET_ROLLOUT:
          serviceImpl.getRollout((org.gypsumturn.schema.admin.GetRolloutRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.GetRolloutReply>) responseObserver);
          break;
        case METHODID_SUBMIT_JOB:
          serviceImpl.submitJob((org.gypsumturn.schema.admin.SubmitJobRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.SubmitJobReply>) responseObserver);
          break;
        case METHODID_GET_JOB:
          serviceImpl.getJob((org.gypsumturn.schema.admin.GetJobRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.Job>) responseObserver);
          break;
        case METHODID_LIST_JOBS:
          serviceImpl.listJobs((org.gypsumturn.schema.admin.ListJobsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.ListJobsReply>) responseObserver);
          break;
        case METHODID_CANCEL_JOBS:
          serviceImpl.cancelJobs((org.gypsumturn.schema.admin.CancelJobsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.CancelJobsReply>) responseObserver);
          break;
        case METHODID_WATCH_EVENTS:
          serviceImpl.watchEvents((org.gypsumturn.schema.admin.WatchEventsRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.Event>) responseObserver);
          break;
        case METHODID_GET_STATUS:
          serviceImpl.getStatus((org.gypsumturn.schema.admin.GetStatusRequest) request,
              (io.grpc.stub.StreamObserver<org.gypsumturn.schema.admin.GetStatusReply>) responseObserver);
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
          getListPoolsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ListPoolsRequest,
              org.gypsumturn.schema.admin.ListPoolsReply>(
                service, METHODID_LIST_POOLS)))
        .addMethod(
          getPutPoolMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.PutPoolRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_PUT_POOL)))
        .addMethod(
          getDeletePoolMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.DeleteRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_DELETE_POOL)))
        .addMethod(
          getSetBudgetMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.SetBudgetRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_SET_BUDGET)))
        .addMethod(
          getListServicesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ListServicesRequest,
              org.gypsumturn.schema.admin.ListServicesReply>(
                service, METHODID_LIST_SERVICES)))
        .addMethod(
          getPutServiceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.PutServiceRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_PUT_SERVICE)))
        .addMethod(
          getDeleteServiceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.DeleteRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_DELETE_SERVICE)))
        .addMethod(
          getListTeamsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ListTeamsRequest,
              org.gypsumturn.schema.admin.ListTeamsReply>(
                service, METHODID_LIST_TEAMS)))
        .addMethod(
          getPutTeamMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.PutTeamRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_PUT_TEAM)))
        .addMethod(
          getDeleteTeamMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.DeleteRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_DELETE_TEAM)))
        .addMethod(
          getListInstancesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ListInstancesRequest,
              org.gypsumturn.schema.admin.ListInstancesReply>(
                service, METHODID_LIST_INSTANCES)))
        .addMethod(
          getAddInstanceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.AddInstanceRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_ADD_INSTANCE)))
        .addMethod(
          getRemoveInstanceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.DeleteRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_REMOVE_INSTANCE)))
        .addMethod(
          getDrainInstanceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.InstanceRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_DRAIN_INSTANCE)))
        .addMethod(
          getReturnInstanceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.InstanceRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_RETURN_INSTANCE)))
        .addMethod(
          getRebootInstanceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.InstanceRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_REBOOT_INSTANCE)))
        .addMethod(
          getMoveInstanceMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.MoveInstanceRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_MOVE_INSTANCE)))
        .addMethod(
          getListWavesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ListWavesRequest,
              org.gypsumturn.schema.admin.ListWavesReply>(
                service, METHODID_LIST_WAVES)))
        .addMethod(
          getStartWaveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.StartWaveRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_START_WAVE)))
        .addMethod(
          getPauseWaveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.WaveRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_PAUSE_WAVE)))
        .addMethod(
          getResumeWaveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.WaveRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_RESUME_WAVE)))
        .addMethod(
          getAbortWaveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.WaveRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_ABORT_WAVE)))
        .addMethod(
          getApplyConfigurationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ApplyConfigurationRequest,
              org.gypsumturn.schema.admin.MutationReply>(
                service, METHODID_APPLY_CONFIGURATION)))
        .addMethod(
          getGetRolloutMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.GetRolloutRequest,
              org.gypsumturn.schema.admin.GetRolloutReply>(
                service, METHODID_GET_ROLLOUT)))
        .addMethod(
          getSubmitJobMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.SubmitJobRequest,
              org.gypsumturn.schema.admin.SubmitJobReply>(
                service, METHODID_SUBMIT_JOB)))
        .addMethod(
          getGetJobMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.GetJobRequest,
              org.gypsumturn.schema.admin.Job>(
                service, METHODID_GET_JOB)))
        .addMethod(
          getListJobsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.ListJobsRequest,
              org.gypsumturn.schema.admin.ListJobsReply>(
                service, METHODID_LIST_JOBS)))
        .addMethod(
          getCancelJobsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.CancelJobsRequest,
              org.gypsumturn.schema.admin.CancelJobsReply>(
                service, METHODID_CANCEL_JOBS)))
        .addMethod(
          getWatchEventsMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.WatchEventsRequest,
              org.gypsumturn.schema.admin.Event>(
                service, METHODID_WATCH_EVENTS)))
        .addMethod(
          getGetStatusMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.gypsumturn.schema.admin.GetStatusRequest,
              org.gypsumturn.schema.admin.GetStatusReply>(
                service, METHODID_GET_STATUS)))
        .build();
  }

  private static abstract class AdminBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    AdminBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.gypsumturn.schema.admin.AdminOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Admin");
    }
  }

  private static final class AdminFileDescriptorSupplier
      extends AdminBaseDescriptorSupplier {
    AdminFileDescriptorSupplier() {}
  }

  private static final class AdminMethodDescriptorSupplier
      extends AdminBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    AdminMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (AdminGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new AdminFileDescriptorSupplier())
              .addMethod(getListPoolsMethod())
              .addMethod(getPutPoolMethod())
              .addMethod(getDeletePoolMethod())
              .addMethod(getSetBudgetMethod())
              .addMethod(getListServicesMethod())
              .addMethod(getPutServiceMethod())
              .addMethod(getDeleteServiceMethod())
              .addMethod(getListTeamsMethod())
              .addMethod(getPutTeamMethod())
              .addMethod(getDeleteTeamMethod())
              .addMethod(getListInstancesMethod())
              .addMethod(getAddInstanceMethod())
              .addMethod(getRemoveInstanceMethod())
              .addMethod(getDrainInstanceMethod())
              .addMethod(getReturnInstanceMethod())
              .addMethod(getRebootInstanceMethod())
              .addMethod(getMoveInstanceMethod())
              .addMethod(getListWavesMethod())
              .addMethod(getStartWaveMethod())
              .addMethod(getPauseWaveMethod())
              .addMethod(getResumeWaveMethod())
              .addMethod(getAbortWaveMethod())
              .addMethod(getApplyConfigurationMethod())
              .addMethod(getGetRolloutMethod())
              .addMethod(getSubmitJobMethod())
              .addMethod(getGetJobMethod())
              .addMethod(getListJobsMethod())
              .addMethod(getCancelJobsMethod())
              .addMethod(getWatchEventsMethod())
              .addMethod(getGetStatusMethod())
              .build();
        }
      }
    }
    return result;
  }
}
