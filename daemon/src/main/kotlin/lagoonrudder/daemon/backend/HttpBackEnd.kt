/**
 * The back end beside a target daemon, over HTTP: an engine or a plain service.
 */
package lagoonrudder.daemon.backend

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.preparePut
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.client.statement.readRawBytes
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.content.TextContent
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.channelFlow
import kotlinx.serialization.SerializationException
import lagoonrudder.control.EngineOrder
import lagoonrudder.control.EngineRole
import lagoonrudder.control.EngineState
import lagoonrudder.control.OrderResult
import lagoonrudder.control.RecordedResponse
import lagoonrudder.daemon.platform.callWithTimeout
import lagoonrudder.daemon.platform.read
import lagoonrudder.daemon.platform.transportFailure
import lagoonrudder.model.Address
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.Failure
import lagoonrudder.model.FencingNumber
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.target.LocalBackEnd
import lagoonrudder.traffic.target.EngineEvent
import lagoonrudder.traffic.target.GenerateRequest
import kotlin.time.Duration

class HttpBackEnd(
    private val client: HttpClient,
    private val address: Address,
) : LocalBackEnd {
    private val peer = Peer(PeerRole.ENGINE, address.toString())
    private val root = "http://$address"

    override fun generate(request: GenerateRequest): Flow<Either<Failure, EngineEvent>> =
        channelFlow {
            val body = GenerateJson(request.request.text, request.work.prompt, request.work.maximumTokens, request.offset, request.priority)
            val call = client.preparePost("$root/generate") { json(engineJson.encodeToString(GenerateJson.serializer(), body)) }
            call.execute { response -> sendAnswer(response) }
        }.buffer(Channel.RENDEZVOUS).catch { error -> emit(transportFailure(error, Step.RUN, peer).left()) }

    override suspend fun call(
        work: Work.Plain,
        request: RequestId,
        limit: Duration,
    ): Either<Failure, RecordedResponse> =
        callWithTimeout(Step.RUN, peer, limit) {
            val call =
                client.prepareRequest {
                    method = HttpMethod.parse(work.method)
                    url("$root${work.path}")
                    header(REQUEST_HEADER, request.text)
                    setBody(ByteArrayContent(work.body, contentTypeOrNull(work.contentType)))
                }
            call.execute { response -> plainAnswer(response) }
        }

    override suspend fun state(limit: Duration): Either<Failure, EngineState> =
        client.read("$root/state", Step.ORDER_ENGINE, peer, limit).flatMap { answer ->
            decode(answer.bytes.decodeToString()) { engineJson.decodeFromString(StateJson.serializer(), it) }.map(::stateOf)
        }

    override suspend fun order(
        order: EngineOrder,
        limit: Duration,
    ): OrderResult {
        val answer =
            callWithTimeout(Step.ORDER_ENGINE, peer, limit) {
                val call = client.preparePost("$root/orders") { json(engineJson.encodeToString(OrderJson.serializer(), jsonOf(order))) }
                call.execute { response -> orderResult(response).right() }
            }
        return answer.fold({ OrderResult.Unknown(it.detail) }, { it })
    }

    override suspend fun putChunk(
        version: VersionId,
        chunk: ChunkIndex,
        bytes: ByteArray,
        limit: Duration,
    ): Either<Failure, Unit> =
        callWithTimeout(Step.DRAW_CHUNK, peer, limit) {
            val call = client.preparePut("$root/weights/${version.text}/${chunk.number}") { setBody(bytes) }
            call.execute { response -> if (response.status == HttpStatusCode.OK) Unit.right() else declined(response).left() }
        }

    private suspend fun ProducerScope<Either<Failure, EngineEvent>>.sendAnswer(response: HttpResponse) {
        if (response.status != HttpStatusCode.OK) {
            val notRun = response.status == HttpStatusCode.ServiceUnavailable
            send((if (notRun) declined(response) else Failure.Interrupted(Step.RUN, peer, "status ${response.status.value}")).left())
            return
        }
        val lines = response.bodyAsChannel()
        while (true) {
            val line = lines.readLine() ?: return
            send(eventOf(line))
        }
    }

    private fun eventOf(line: String): Either<Failure, EngineEvent> =
        decode(line) { engineJson.decodeFromString(EngineLineJson.serializer(), it) }.flatMap { read ->
            val event =
                read.start?.let { EngineEvent.Started(IncarnationId(it.incarnation), VersionId(it.version)) }
                    ?: read.text?.let { EngineEvent.Text(it.offset, it.data.encodeToByteArray()) }
                    ?: read.end?.let { EngineEvent.Ended(VersionId(it.version), it.length, it.checksum) }
            event?.right() ?: Failure.Damaged(Step.RUN, peer, "a line without content").left()
        }

    private suspend fun plainAnswer(response: HttpResponse): Either<Failure, RecordedResponse> {
        val notRun = response.headers[NOT_RUN_HEADER] == "yes"
        if (notRun) return declined(response).left()
        val type = response.contentType()?.toString() ?: "application/octet-stream"
        return RecordedResponse(response.status.value, type, response.readRawBytes()).right()
    }

    private fun declined(response: HttpResponse) = Failure.Declined(Step.RUN, peer, "status ${response.status.value}")

    private suspend fun orderResult(response: HttpResponse): OrderResult =
        when (response.status) {
            HttpStatusCode.OK -> OrderResult.Done
            HttpStatusCode.Conflict -> OrderResult.Fenced
            HttpStatusCode.UnprocessableEntity -> OrderResult.Declined(response.bodyAsText().take(LONGEST_DETAIL))
            else -> OrderResult.Unknown("status ${response.status.value}")
        }

    private fun jsonOf(order: EngineOrder): OrderJson =
        when (order) {
            is EngineOrder.LoadModel -> OrderJson("load-model", order.fencing.number, order.version.text, chunks = order.chunks)
            is EngineOrder.LoadAdapter ->
                OrderJson("load-adapter", order.fencing.number, order.version.text, base = order.base.text, chunks = order.chunks)
            is EngineOrder.ChangeRole -> OrderJson("change-role", order.fencing.number, role = order.role.name.lowercase())
        }

    private fun stateOf(state: StateJson) =
        EngineState(
            incarnation = IncarnationId(state.incarnation),
            version = state.version?.let(::VersionId),
            role = if (state.role == "idle") EngineRole.IDLE else EngineRole.SERVE,
            fencing = state.fencing?.let(::FencingNumber),
            loading = state.loading,
            chunksHeld = state.chunksHeld,
        )

    private fun <T> decode(
        text: String,
        read: (String) -> T,
    ): Either<Failure, T> =
        try {
            read(text).right()
        } catch (malformed: SerializationException) {
            Failure.Damaged(Step.RUN, peer, "malformed answer: ${malformed.message.orEmpty().take(LONGEST_DETAIL)}").left()
        }

    private fun HttpRequestBuilder.json(text: String) = setBody(TextContent(text, ContentType.Application.Json))

    /** A type that can't be read is left out rather than failing a call that was not sent. */
    private fun contentTypeOrNull(text: String): ContentType? =
        try {
            if (text.isBlank()) null else ContentType.parse(text)
        } catch (_: BadContentTypeFormatException) {
            null
        }

    private companion object {
        const val REQUEST_HEADER = "Request-Id"
        const val NOT_RUN_HEADER = "Not-Run"
        const val LONGEST_DETAIL = 200
    }
}
