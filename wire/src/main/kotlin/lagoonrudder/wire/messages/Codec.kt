/**
 * Encodes messages as protocol buffers and decodes them.
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

/** Decodes a message. Throws [MalformedMessage] on invalid bytes, whichever exception the codec raises for them. */
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
