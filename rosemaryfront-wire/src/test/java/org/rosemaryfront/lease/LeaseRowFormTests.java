package org.rosemaryfront.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a lease that a process of another build takes for a free one. */
class LeaseRowFormTests {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	@Test
	void shouldKeepFormOfLeaseWhenEveryFieldIsSet() throws JsonProcessingException {
		LeaseRow row = new LeaseRow("h", 3, 4_000, "t");
		JsonNode form = MAPPER.readTree("""
				{"holder":"h","fence":3,"termMillis":4000,"token":"t"}""");
		assertThat(MAPPER.readTree(LeaseRowCodec.write(row).toString())).isEqualTo(form);
		assertThat(LeaseRowCodec.read(form)).isEqualTo(row);
	}

}
