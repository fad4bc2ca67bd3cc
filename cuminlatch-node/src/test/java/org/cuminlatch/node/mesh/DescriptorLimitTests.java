package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("The limit of connections from that of descriptors")
class DescriptorLimitTests {

  @ParameterizedTest
  @CsvSource({
    "Max open files            4100                 4100                 files, 1950",
    "Max open files            512                  1048576              files, 156",
    "Max open files            100                  100                  files, 64",
    "Max open files            1048576              1048576              files, 1950",
    "Max open files            unlimited            unlimited            files, 1950",
    "Max processes             10                   10                   processes, 1950"
  })
  void isHalfOfWhatFilesLeave(String line, int maxCallers) {
    List<String> lines = List.of("Limit   Soft Limit   Hard Limit   Units", line);

    assertThat(DescriptorLimit.parse(lines).maxCallers(), is(maxCallers));
  }
}
