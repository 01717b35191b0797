/**
 * Messages as protocol buffer bytes.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package lagoonrudder.wire.messages

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf

fun <T> encodeMessage(
    serializer: KSerializer<T>,
    message: T,
): ByteArray = ProtoBuf.encodeToByteArray(serializer, message)

/** Reads a message; bytes that aren't one raise a [MalformedMessage], whatever the codec makes of them. */
fun <T> decodeMessage(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T =
    try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (malformed: SerializationException) {
        throw MalformedMessage(malformed.message.orEmpty())
    } catch (malformed: IndexOutOfBoundsException) {
        throw MalformedMessage(malformed.message.orEmpty())
    } catch (malformed: IllegalArgumentException) {
        throw MalformedMessage(malformed.message.orEmpty())
    }
