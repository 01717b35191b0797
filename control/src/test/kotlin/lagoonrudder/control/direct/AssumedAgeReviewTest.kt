/**
 * Guards against an assumed age of a version that moves what a peer knows of it.
 */
package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AssumedAgeReviewTest :
    FunSpec({
        test("a daemon that has just started tells peers no age that it only assumes") {
            // Acknowledged at 10 s; the reader was gone, so that the others heard 1.2 s later.
            val others = DeclaredVersions(VERSION_LIMIT)
            others.onUpToDate(9_900.milliseconds)
            others.onHeard(StoreRecord.VersionDeclaration(MODEL, WeightNumber(2)), 11_200.milliseconds)
            val started = DeclaredVersions(VERSION_LIMIT)
            started.onHeard(StoreRecord.VersionDeclaration(MODEL, WeightNumber(2)), 17.seconds)
            started.onTold(others.toTell(17.seconds), askedAt = 17.seconds)
            others.onTold(started.toTell(17_100.milliseconds), askedAt = 17_100.milliseconds)
            others.declaration(MODEL, WeightNumber(2))?.acknowledged?.earliest shouldBe 9_900.milliseconds
        }
    })
