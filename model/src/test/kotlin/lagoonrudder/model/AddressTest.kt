/**
 * Guards against an address that only looks like an IP number, for which opening a connection would look up a name.
 */
package lagoonrudder.model

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

class AddressTest :
    FunSpec({
        test("an IP number and a port are an address") {
            addressOrNull("10.0.0.1:80") shouldBe Address("10.0.0.1", 80)
            addressOrNull("255.255.255.255:65535") shouldBe Address("255.255.255.255", 65_535)
            addressOrNull("0.0.0.0:1") shouldBe Address("0.0.0.0", 1)
            addressOrNull("[::1]:80") shouldBe Address("[::1]", 80)
        }

        val odd =
            listOf("", ":", "10.0.0.1", "10.0.0.1:", ":80", "host:80", "10.0.0:80", "10.0.0.1.1:80", "10.0.0.256:80", "10.0.0.-1:80") +
                listOf("10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999", "10.0.0.1: 80", "10.0.0.1:80\n") +
                listOf("+10.0.0.1:80", "10.0.0.1:+80", "10.0.0.01:80", "10.0.0.\uFF11:80", "10.0.0.1:\uFF18\uFF10")
        for (text in odd) {
            test("\"${text.replace("\n", "\\n")}\" is no address") { withClue(text) { addressOrNull(text).shouldBeNull() } }
        }
    })
