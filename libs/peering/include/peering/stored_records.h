#pragma once

#include <serving/fleet_checkpoint.h>

#include <optional>
#include <string>
#include <string_view>

/** @file The system's own records in the platform's store: their keys and encodings. All pure. */
namespace camphorgrade::peering {

/** All keys of the system begin with this. */
inline constexpr std::string_view record_prefix = "camphorgrade/";
inline constexpr std::string_view checkpoint_key = "camphorgrade/checkpoint";

std::string encode_checkpoint(const serving::fleet_checkpoint& checkpoint);

/** Decodes a checkpoint; nullopt unless all of it is valid and in the present format. */
std::optional<serving::fleet_checkpoint> decode_checkpoint(std::string_view bytes);

} // namespace camphorgrade::peering
