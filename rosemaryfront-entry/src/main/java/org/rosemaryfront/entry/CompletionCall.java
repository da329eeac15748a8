package org.rosemaryfront.entry;

import java.util.Objects;

/**
 * A call to a model as the caller sent it, after validation.
 *
 * @param form chat or text completion
 * @param model the name of the model or adapter
 * @param prompt the prompt that engines get
 * @param maxTokens the greatest length of the answer, in tokens
 * @param streamed whether the caller wants server-sent events
 * @param includeUsage whether the stream ends with a usage event
 * @param serviceTier the name of the latency target, empty for the standard one
 * @param body the request body as it came
 */
record CompletionCall(Form form, String model, String prompt, int maxTokens, boolean streamed, boolean includeUsage,
		String serviceTier, byte[] body) {

	CompletionCall {
		Objects.requireNonNull(form, "form is null");
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(prompt, "prompt is null");
		Objects.requireNonNull(serviceTier, "serviceTier is null");
	}

	/** The form of a completion. */
	enum Form {

		/** Chat completion. */
		CHAT("/v1/chat/completions", "chatcmpl-", "chat.completion", "chat.completion.chunk"),

		/** Text completion. */
		TEXT("/v1/completions", "cmpl-", "text_completion", "text_completion");

		private final String path;

		private final String idPrefix;

		private final String wholeObject;

		private final String chunkObject;

		Form(String path, String idPrefix, String wholeObject, String chunkObject) {
			this.path = path;
			this.idPrefix = idPrefix;
			this.wholeObject = wholeObject;
			this.chunkObject = chunkObject;
		}

		/**
		 * The form whose requests have identifiers like the given one.
		 * @param id a request's identifier
		 * @return the form
		 */
		static Form ofId(String id) {
			return id.startsWith(CHAT.idPrefix) ? CHAT : TEXT;
		}

		/**
		 * The form served at a path.
		 * @param path the path
		 * @return the form
		 */
		static Form ofPath(String path) {
			return path.equals(TEXT.path) ? TEXT : CHAT;
		}

		String path() {
			return this.path;
		}

		String idPrefix() {
			return this.idPrefix;
		}

		String wholeObject() {
			return this.wholeObject;
		}

		String chunkObject() {
			return this.chunkObject;
		}

	}

}
