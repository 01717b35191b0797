package lagoonrudder.control.direct.suspicion

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import lagoonrudder.model.PromptPartId

class RecentPartsTest :
    FunSpec({
        // Parts that many requests share must outlast any number of parts that few do.
        test("a part that is added again and again is kept, and of the others only the latest are") {
            val recent = RecentParts(capacity = 10)
            repeat(1_000) { recent.addAll(listOf(PromptPartId("shared"), PromptPartId("rare-$it"))) }
            val kept = (listOf("shared") + List(1_000) { "rare-$it" }).filter { PromptPartId(it) in recent }
            kept shouldContainExactly listOf("shared") + (991..999).map { "rare-$it" }
        }
    })
