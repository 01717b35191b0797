package lagoonrudder.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.model.checkObjects
import lagoonrudder.wire.documents.readObjects
import lagoonrudder.wire.documents.writeObjects
import java.io.File

private val root = File("..")

class SamplesTest :
    FunSpec({
        for ((folder, names) in mapOf("festival" to festival, "tadla" to tadla)) {
            test("the sample deployment $folder equals the objects of the demonstration and passes validation") {
                val file = File(root, "deployments/$folder/objects.ini")
                if (System.getenv("WRITE_SAMPLES") == "yes") file.writeText(writeObjects(sampleObjects(names).byKey.values))
                val objects = readObjects(file.readText(), file.name).getOrNull().shouldNotBeNull()
                objects.digest shouldBe sampleObjects(names).digest
                checkObjects(objects, file.name).isRight() shouldBe true
            }
        }
    })
