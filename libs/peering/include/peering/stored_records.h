#pragma once

#include <serving/fleet_checkpoint.h>
#include <serving/origin_journal.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/** @file The system's own records in the platform's store: their keys and encodings. All pure. */
namespace camphorgrade::peering {

/** All keys of the system begin with this. */
inline constexpr std::string_view record_prefix = "camphorgrade/";
inline constexpr std::string_view checkpoint_key = "camphorgrade/checkpoint";
/** Keys of records of origins begin with this. */
inline constexpr std::string_view origins_prefix = "camphorgrade/origins/";

/** Key of the record `chunk` of the process `incarnation` at the address `gateway`. */
std::string origins_key(std::string_view gateway, std::uint64_t incarnation, std::uint64_t chunk);

std::string encode_checkpoint(const serving::fleet_checkpoint& checkpoint);

/** Decodes a checkpoint; nullopt unless all of it is valid and in the present format. */
std::optional<serving::fleet_checkpoint> decode_checkpoint(std::string_view bytes);

std::string encode_origins(const serving::origin_chunk& origins);

/** Decodes origins; nullopt unless they are valid and in the present format. */
std::optional<serving::origin_chunk> decode_origins(std::string_view bytes);

} // namespace camphorgrade::peering
