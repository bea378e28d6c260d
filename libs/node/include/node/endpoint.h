#pragma once

#include <http/http_call.h>

#include <optional>
#include <string>

namespace camphorgrade {

/** Reads "IP:port"; nullopt when it is something else. Thread safe. */
std::optional<http_endpoint> parse_endpoint(const std::string& text);

} // namespace camphorgrade
