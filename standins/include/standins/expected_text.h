#pragma once

#include <cstddef>
#include <string>

namespace camphorgrade::standins {

/**
 * The token at `index`, counted from 0, of the text that an engine stand-in generates, with its
 * trailing space. Thread safe.
 */
std::string expected_token(const std::string& model, const std::string& prompt, std::size_t index);

/**
 * The complete text that an engine stand-in generates: `max_tokens` tokens that depend only on the
 * prompt and on `model`, which names the adapter with its version or the base model. Thread safe.
 */
std::string expected_text(const std::string& model, const std::string& prompt,
                          std::size_t max_tokens);

} // namespace camphorgrade::standins
