#include <peering/registrations.h>

#include "message_ages.h"

#include <wire/peering.pb.h>

#include <algorithm>
#include <limits>

namespace camphorgrade::peering {

namespace {

serving::backend_server read(const wire::registration& in) {
    serving::backend_server out;
    out.id = in.id();
    out.service = in.service();
    const bool is_port = in.port() <= std::numeric_limits<std::uint16_t>::max();
    out.address = {in.ip(), is_port ? static_cast<std::uint16_t>(in.port()) : std::uint16_t{0}};
    out.data_centre = in.data_centre();
    out.slots = in.slots();
    out.is_draining = in.is_draining();
    out.started_at_ms = in.born();
    out.software_version = in.software_version();
    out.cold_left = std::max(read_age(in.cold_left_ms()), duration::zero());
    for (const auto& each : in.held()) {
        out.held.push_back({each.weights(), each.version()});
    }
    return out;
}

void write(const serving::backend_server& server, wire::registration& out) {
    out.set_id(server.id);
    out.set_service(server.service);
    out.set_ip(server.address.ip);
    out.set_port(server.address.port);
    out.set_data_centre(server.data_centre);
    out.set_slots(server.slots);
    out.set_is_draining(server.is_draining);
    out.set_born(server.started_at_ms);
    out.set_software_version(server.software_version);
    out.set_cold_left_ms(static_cast<std::uint64_t>(server.cold_left.count()));
    for (const auto& each : server.held) {
        auto& held = *out.add_held();
        held.set_weights(each.name);
        held.set_version(each.version);
    }
}

} // namespace

std::string encode_registrations(const registration_snapshot& snapshot) {
    wire::registration_list out;
    for (const auto& each : snapshot.servers) {
        auto& listed = *out.add_servers();
        write(each, listed);
        listed.set_is_awaited(snapshot.awaited.count(each.id) != 0);
    }
    out.set_era(snapshot.position.era);
    out.set_revision(snapshot.position.revision);
    out.set_is_settled(snapshot.is_settled);
    out.set_store_age_ms(static_cast<std::uint64_t>(snapshot.store_age.count()));
    out.set_registrations_age_ms(static_cast<std::uint64_t>(snapshot.registrations_age.count()));
    out.set_catalogue_version(snapshot.catalogue_version);
    return out.SerializeAsString();
}

std::optional<registration_snapshot> decode_registrations(std::string_view bytes) {
    wire::registration_list in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    registration_snapshot out;
    for (const auto& each : in.servers()) {
        out.servers.push_back(read(each));
        if (each.is_awaited()) {
            out.awaited.insert(each.id());
        }
    }
    out.position = {in.era(), in.revision()};
    out.is_settled = in.is_settled();
    out.store_age = read_age(in.store_age_ms());
    out.registrations_age = read_age(in.registrations_age_ms());
    out.catalogue_version = in.catalogue_version();
    return out;
}

} // namespace camphorgrade::peering
