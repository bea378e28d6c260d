#include <peering/stored_records.h>

#include "message_ages.h"

#include <wire/stored.pb.h>

#include <algorithm>

namespace camphorgrade::peering {

namespace {

/** A process reads only records of its own format, as any may have been written by another one. */
constexpr std::uint32_t checkpoint_format = 1;
constexpr std::uint32_t origins_format = 1;
constexpr int max_software_records = 256;
constexpr std::size_t max_record_bytes = std::size_t{1} * 1024 * 1024;

template <typename Message>
bool parse(std::string_view bytes, Message& out) {
    return bytes.size() <= max_record_bytes &&
           out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

/** Whether the number encodes an age that isn't negative. */
bool is_age(std::uint64_t wire_ms) {
    return read_age(wire_ms) >= duration::zero();
}

void write(const serving::route& route, wire::stored_route& out) {
    out.set_host(route.host);
    out.set_path_prefix(route.path_prefix);
    for (const auto& each : route.services) {
        auto& share = *out.add_services();
        share.set_service(each.service);
        share.set_weight(each.weight);
    }
}

serving::route read(const wire::stored_route& in) {
    serving::route out;
    out.host = in.host();
    out.path_prefix = in.path_prefix();
    out.kind = serving::request_kind::streaming;
    for (const auto& each : in.services()) {
        out.services.push_back({each.service(), each.weight()});
    }
    return out;
}

bool has_valid_ages(const wire::stored_checkpoint& in) {
    const auto has_age = [](const auto& each) { return is_age(each.age_ms()); };
    return is_age(in.reach_ms()) &&
           std::all_of(in.software().begin(), in.software().end(), has_age) &&
           std::all_of(in.route_changes().begin(), in.route_changes().end(), has_age);
}

} // namespace

std::string origins_key(std::string_view gateway, std::uint64_t incarnation, std::uint64_t chunk) {
    return std::string(origins_prefix) + std::string(gateway) + '/' + std::to_string(incarnation) +
           '/' + std::to_string(chunk);
}

std::string encode_checkpoint(const serving::fleet_checkpoint& checkpoint) {
    wire::stored_checkpoint out;
    out.set_format(checkpoint_format);
    out.set_era(checkpoint.position.era);
    out.set_revision(checkpoint.position.revision);
    out.set_reach_ms(static_cast<std::uint64_t>(checkpoint.reach.count()));
    for (const auto& each : checkpoint.software) {
        auto& record = *out.add_software();
        record.set_service(each.service);
        record.set_version(each.version);
        record.set_age_ms(static_cast<std::uint64_t>(each.age.count()));
    }
    for (const auto& each : checkpoint.routes) {
        write(each, *out.add_routes());
    }
    for (const auto& each : checkpoint.route_changes) {
        auto& change = *out.add_route_changes();
        change.set_host(each.host);
        change.set_path_prefix(each.path_prefix);
        change.set_age_ms(static_cast<std::uint64_t>(each.age.count()));
    }
    return out.SerializeAsString();
}

std::optional<serving::fleet_checkpoint> decode_checkpoint(std::string_view bytes) {
    wire::stored_checkpoint in;
    const bool is_usable = parse(bytes, in) && in.format() == checkpoint_format &&
                           in.software_size() <= max_software_records && has_valid_ages(in);
    if (!is_usable) {
        return std::nullopt;
    }
    serving::fleet_checkpoint out;
    out.position = {in.era(), in.revision()};
    out.reach = read_age(in.reach_ms());
    for (const auto& each : in.software()) {
        out.software.push_back({each.service(), each.version(), read_age(each.age_ms())});
    }
    for (const auto& each : in.routes()) {
        out.routes.push_back(read(each));
    }
    for (const auto& each : in.route_changes()) {
        out.route_changes.push_back({each.host(), each.path_prefix(), read_age(each.age_ms())});
    }
    return out;
}

std::string encode_origins(const serving::origin_chunk& origins) {
    wire::stored_origins out;
    out.set_format(origins_format);
    for (const auto& [origin, streams] : origins) {
        auto& record = *out.add_origins();
        record.set_service(origin.service);
        record.set_version(origin.version);
        record.mutable_streams()->Add(streams.begin(), streams.end());
    }
    return out.SerializeAsString();
}

std::optional<serving::origin_chunk> decode_origins(std::string_view bytes) {
    wire::stored_origins in;
    if (!parse(bytes, in) || in.format() != origins_format) {
        return std::nullopt;
    }
    serving::origin_chunk out;
    for (const auto& each : in.origins()) {
        auto& streams = out[{each.service(), each.version()}];
        streams.insert(streams.end(), each.streams().begin(), each.streams().end());
    }
    return out;
}

} // namespace camphorgrade::peering
