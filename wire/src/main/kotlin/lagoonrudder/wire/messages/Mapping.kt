/**
 * Converts between messages and domain types.
 *
 * A message that violates its contract raises a [MalformedMessage], which callers turn into a failure that names the peer.
 */
package lagoonrudder.wire.messages

import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.InstanceChanges
import lagoonrudder.control.RecordedResponse
import lagoonrudder.control.SurrenderResult
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.SwitchStatus
import lagoonrudder.control.TargetLoad
import lagoonrudder.control.TargetReport
import lagoonrudder.model.CustomerId
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Digest
import lagoonrudder.model.DomainId
import lagoonrudder.model.FleetId
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Instance
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.addressOrNull
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunPermit
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.SurrenderRequest
import lagoonrudder.traffic.Work
import kotlin.time.Duration.Companion.milliseconds

class MalformedMessage(
    detail: String,
) : Exception(detail)

private fun malformed(detail: String): Nothing = throw MalformedMessage(detail)

private fun versionOrNull(text: String): VersionId? = text.takeIf { it.isNotEmpty() }?.let(::VersionId)

fun RunRequest.toMessage(): RunMessage =
    RunMessage(
        request = request.text,
        attempt = attempt,
        customer = customer.text,
        fleet = fleet.text,
        revision = revision.number,
        versions = versions.map { it.text },
        offset = offset,
        timeLeftMilliseconds = timeLeft.inWholeMilliseconds,
        tokens = tokens,
        priority = priority,
        permit = permit?.let { PermitMessage(it.key.text, it.number) },
        generate = (work as? Work.Generate)?.let { GenerateMessage(it.prompt, it.maximumTokens) },
        plain = (work as? Work.Plain)?.let { PlainMessage(it.method, it.path, it.contentType, it.body) },
    )

fun RunMessage.toRequest(): RunRequest =
    RunRequest(
        request = RequestId(request),
        attempt = attempt,
        customer = CustomerId(customer),
        fleet = FleetId(fleet),
        revision = Revision(revision),
        versions = versions.map(::VersionId),
        offset = offset.takeIf { it >= 0 } ?: malformed("field offset: expected 0 or more, got $offset"),
        timeLeft = timeLeftMilliseconds.milliseconds,
        tokens = tokens.takeIf { it > 0 } ?: malformed("field tokens: expected more than 0, got $tokens"),
        priority = priority,
        permit = permit?.let { RunPermit(IdempotencyKey(it.key), it.number) },
        work = workOf(this),
    )

private fun workOf(message: RunMessage): Work {
    val generate = message.generate
    val plain = message.plain
    return when {
        generate != null && plain == null -> Work.Generate(generate.prompt, generate.maximumTokens)
        plain != null && generate == null -> Work.Plain(plain.method, plain.path, plain.contentType, plain.body)
        else -> malformed("expected exactly one of the fields generate and plain")
    }
}

fun RunEvent.toMessage(): EventMessage =
    when (this) {
        is RunEvent.NotRun -> EventMessage(notRun = refusal.toMessage(load))
        is RunEvent.Head -> EventMessage(head = HeadMessage(request.text, attempt, version?.text.orEmpty(), status, contentType))
        is RunEvent.Bytes -> EventMessage(bytes = BytesMessage(offset, data, checksum))
        is RunEvent.End -> EventMessage(end = EndMessage(length, checksum, load?.toMessage()))
    }

fun EventMessage.toEvent(): RunEvent {
    notRun?.let { return RunEvent.NotRun(it.toRefusal(), it.load?.toTargetLoad()) }
    head?.let { return RunEvent.Head(RequestId(it.request), it.attempt, versionOrNull(it.version), it.status, it.contentType) }
    bytes?.let { return RunEvent.Bytes(it.offset, it.data, it.checksum) }
    end?.let { return RunEvent.End(it.length, it.checksum, it.load?.toTargetLoad()) }
    malformed("event message has no field set")
}

fun TargetLoad.toMessage() = TargetLoadMessage(limit, inFlight, freeTokens)

fun TargetLoadMessage.toTargetLoad() = TargetLoad(limit, inFlight, freeTokens)

fun Refusal.toMessage(load: TargetLoad? = null): RefusalMessage {
    val detail =
        when (this) {
            is Refusal.Invalid -> expected
            is Refusal.NotServing -> reason
            Refusal.UnknownRoute, Refusal.UnknownCustomer -> ""
            is Refusal.Overloaded, is Refusal.TooLate, is Refusal.NoTarget, is Refusal.WrongVersion, is Refusal.HeldBack -> ""
        }
    return RefusalMessage(code, retryAfter?.inWholeMilliseconds ?: 0, detail, load?.toMessage())
}

fun RefusalMessage.toRefusal(): Refusal {
    val retry = retryAfterMilliseconds.milliseconds
    return when (code) {
        "unknown-route" -> Refusal.UnknownRoute
        "unknown-customer" -> Refusal.UnknownCustomer
        "invalid" -> Refusal.Invalid(detail)
        "overloaded" -> Refusal.Overloaded(retry)
        "too-late" -> Refusal.TooLate(retry)
        "not-serving" -> Refusal.NotServing(retry, detail)
        "no-target" -> Refusal.NoTarget(retry)
        "wrong-version" -> Refusal.WrongVersion(retry)
        "held-back" -> Refusal.HeldBack(retry)
        else -> malformed("unknown refusal code $code")
    }
}

fun ReserveRequest.toMessage() = ReserveMessage(request.text, fleet.text, key.text, body.hexadecimal, revision.number)

fun ReserveMessage.toRequest() = ReserveRequest(RequestId(request), FleetId(fleet), IdempotencyKey(key), Digest(body), Revision(revision))

fun IdempotencyDecision.toMessage(): ReserveReply =
    when (this) {
        is IdempotencyDecision.Permitted -> ReserveReply(permit = permit)
        is IdempotencyDecision.Uncertain -> ReserveReply(uncertain = detail)
        is IdempotencyDecision.Refused -> ReserveReply(refused = refusal.toMessage())
        is IdempotencyDecision.AlreadyRan -> ReserveReply(alreadyRan = recorded(response))
        is IdempotencyDecision.QueryPreviousOwners -> ReserveReply(uncertain = "previous owners of the key were not checked")
    }

private fun recorded(response: RecordedResponse?): RecordedResponseMessage =
    if (response == null) RecordedResponseMessage() else RecordedResponseMessage(true, response.status, response.contentType, response.body)

fun ReserveReply.toDecision(): IdempotencyDecision {
    permit?.let { return IdempotencyDecision.Permitted(it) }
    uncertain?.let { return IdempotencyDecision.Uncertain(it) }
    refused?.let { return IdempotencyDecision.Refused(it.toRefusal()) }
    val recorded = alreadyRan ?: malformed("reserve reply has no field set")
    return IdempotencyDecision.AlreadyRan(recorded.toResponse())
}

private fun RecordedResponseMessage.toResponse(): RecordedResponse? = if (held) RecordedResponse(status, contentType, body) else null

fun SurrenderRequest.toMessage() = SurrenderMessage(key.text, revision.number)

fun SurrenderMessage.toRequest() = SurrenderRequest(IdempotencyKey(key), Revision(revision))

fun SurrenderResult.toMessage(): SurrenderReply =
    when (this) {
        SurrenderResult.Released -> SurrenderReply(released = true)
        is SurrenderResult.AlreadyRan -> SurrenderReply(alreadyRan = recorded(response))
        is SurrenderResult.Uncertain -> SurrenderReply(uncertain = detail)
    }

fun SurrenderReply.toSurrender(): SurrenderResult {
    if (released) return SurrenderResult.Released
    uncertain?.let { return SurrenderResult.Uncertain(it) }
    val recorded = alreadyRan ?: malformed("surrender reply has no field set")
    return SurrenderResult.AlreadyRan(recorded.toResponse())
}

fun TargetReport.toMessage() =
    ReportMessage(
        target.text,
        incarnation.text,
        load.toMessage(),
        version?.text.orEmpty(),
        accepting,
    )

fun ReportMessage.toReport() =
    TargetReport(
        TargetId(target),
        IncarnationId(incarnation),
        load.toTargetLoad(),
        versionOrNull(version),
        accepting,
    )

fun SwitchReport.toMessage() = SwitchMessage(target.text, version?.text.orEmpty(), status.name)

fun SwitchMessage.toReport(): SwitchReport {
    val known = SwitchStatus.entries.firstOrNull { it.name == status } ?: malformed("unknown switch status $status")
    return SwitchReport(TargetId(target), versionOrNull(version), known)
}

fun Instance.toMessage() =
    InstanceMessage(
        daemon.text,
        role.name.lowercase(),
        domain.text,
        target?.text.orEmpty(),
        address.toString(),
        leaving,
    )

fun InstanceMessage.toInstance(): Instance =
    Instance(
        daemon = DaemonId(daemon),
        role = DaemonRole.entries.firstOrNull { it.name.lowercase() == role } ?: malformed("unknown daemon role $role"),
        domain = DomainId(domain),
        target = target.takeIf { it.isNotEmpty() }?.let(::TargetId),
        address = addressOrNull(address) ?: malformed("invalid address $address"),
        leaving = leaving,
    )

fun InstanceChanges.toMessage() = InstancesMessage(base, generation, changed.map { it.toMessage() }, removed.map { it.text })

fun InstancesMessage.toChanges() = InstanceChanges(base, generation, changed.map { it.toInstance() }, removed.map(::DaemonId))
