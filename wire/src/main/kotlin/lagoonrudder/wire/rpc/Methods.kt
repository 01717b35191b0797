/**
 * The gRPC methods between the system's processes.
 */
package lagoonrudder.wire.rpc

import io.grpc.MethodDescriptor
import io.grpc.Status
import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer
import lagoonrudder.wire.messages.ChunkMessage
import lagoonrudder.wire.messages.ChunkReply
import lagoonrudder.wire.messages.EmptyMessage
import lagoonrudder.wire.messages.EventMessage
import lagoonrudder.wire.messages.ExchangeMessage
import lagoonrudder.wire.messages.ExchangeReply
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.OfferMessage
import lagoonrudder.wire.messages.OfferReply
import lagoonrudder.wire.messages.ReportMessage
import lagoonrudder.wire.messages.ReserveMessage
import lagoonrudder.wire.messages.ReserveReply
import lagoonrudder.wire.messages.RunMessage
import lagoonrudder.wire.messages.SurrenderMessage
import lagoonrudder.wire.messages.SurrenderReply
import lagoonrudder.wire.messages.SwitchMessage
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import java.io.InputStream

internal const val TARGET_SERVICE = "lagoonrudder.Target"
internal const val PEER_SERVICE = "lagoonrudder.Peer"

internal object Methods {
    val run = streaming<RunMessage, EventMessage>(TARGET_SERVICE, "Run")
    val reserve = unary<ReserveMessage, ReserveReply>(TARGET_SERVICE, "Reserve")
    val reports = streaming<EmptyMessage, ReportMessage>(TARGET_SERVICE, "Reports")
    val switch = unary<EmptyMessage, SwitchMessage>(TARGET_SERVICE, "Switch")
    val surrender = unary<SurrenderMessage, SurrenderReply>(TARGET_SERVICE, "Surrender")
    val exchange = unary<ExchangeMessage, ExchangeReply>(PEER_SERVICE, "Exchange")
    val offer = unary<OfferMessage, OfferReply>(PEER_SERVICE, "Offer")
    val chunk = unary<ChunkMessage, ChunkReply>(PEER_SERVICE, "Chunk")
}

private inline fun <reified Q : Any, reified A : Any> unary(
    service: String,
    name: String,
) = method(MethodDescriptor.MethodType.UNARY, service, name, serializer<Q>(), serializer<A>())

private inline fun <reified Q : Any, reified A : Any> streaming(
    service: String,
    name: String,
) = method(MethodDescriptor.MethodType.SERVER_STREAMING, service, name, serializer<Q>(), serializer<A>())

private fun <Q : Any, A : Any> method(
    type: MethodDescriptor.MethodType,
    service: String,
    name: String,
    requestSerializer: KSerializer<Q>,
    responseSerializer: KSerializer<A>,
): MethodDescriptor<Q, A> =
    MethodDescriptor
        .newBuilder<Q, A>()
        .setType(type)
        .setFullMethodName(MethodDescriptor.generateFullMethodName(service, name))
        .setRequestMarshaller(ProtocolBufferMarshaller(requestSerializer))
        .setResponseMarshaller(ProtocolBufferMarshaller(responseSerializer))
        .build()

private class ProtocolBufferMarshaller<T : Any>(
    private val serializer: KSerializer<T>,
) : MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream = encodeMessage(serializer, value).inputStream()

    override fun parse(stream: InputStream): T =
        try {
            decodeMessage(serializer, stream.readBytes())
        } catch (malformed: MalformedMessage) {
            throw Status.DATA_LOSS
                .withDescription("malformed message")
                .withCause(malformed)
                .asRuntimeException()
        }
}
