#pragma once

#include <cstddef>
#include <string>

namespace camphorgrade::standins {

/** Token number `index` of an engine stand-in's answer, with the space that follows it. */
std::string expected_token(const std::string& model, const std::string& prompt, std::size_t index);

/**
 * The whole text that an engine stand-in generates: `max_tokens` tokens that depend on nothing but
 * the model's name (the adapter with its version) and the prompt. Thread safe.
 */
std::string expected_text(const std::string& model, const std::string& prompt,
                          std::size_t max_tokens);

} // namespace camphorgrade::standins
