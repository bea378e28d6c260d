#pragma once

#include <serving/backend_server.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::peering {

/** Bytes of a list of registered servers, which one gateway gives another. Pure. */
std::string encode_registrations(const std::vector<serving::backend_server>& servers);

/** The servers of these bytes; nullopt when they are none. Pure. */
std::optional<std::vector<serving::backend_server>> decode_registrations(std::string_view bytes);

} // namespace camphorgrade::peering
