#include <membership/epoch_record.h>

#include <wire/membership.pb.h>

#include <algorithm>

namespace camphorgrade::membership {

namespace leaf = boost::leaf;

namespace {

void to_wire(const node_life& life, wire::life_entry& out) {
    out.set_address(life.address.value());
    out.set_incarnation(life.life.value());
}

node_life from_wire(const wire::life_entry& in) {
    return {node_id{in.address()}, incarnation{in.incarnation()}};
}

template <typename Entries>
std::vector<node_life> lives(const Entries& entries) {
    std::vector<node_life> all;
    std::transform(entries.begin(), entries.end(), std::back_inserter(all),
                   [](const wire::life_entry& each) { return from_wire(each); });
    return all;
}

} // namespace

const epoch_member* epoch_record::find_generation(std::uint64_t generation) const {
    const auto found = std::find_if(members.begin(), members.end(), [&](const epoch_member& each) {
        return each.generation == generation;
    });
    return found == members.end() ? nullptr : &*found;
}

const epoch_member* epoch_record::find_address(const node_id& address) const {
    const auto found = std::find_if(members.begin(), members.end(), [&](const epoch_member& each) {
        return each.who.address == address;
    });
    return found == members.end() ? nullptr : &*found;
}

void to_wire(const epoch_record& record, wire::epoch_entry& out) {
    out.set_number(record.number);
    for (const epoch_member& each : record.members) {
        wire::member_entry& member = *out.add_members();
        to_wire(each.who, *member.mutable_life());
        member.set_generation(each.generation);
    }
    for (const node_life& each : record.witnesses) {
        to_wire(each, *out.add_witnesses());
    }
    for (const node_life& each : record.previous_witnesses) {
        to_wire(each, *out.add_previous_witnesses());
    }
    out.set_witness_version(record.witness_version);
    out.set_write_id(record.write_id);
}

epoch_record from_wire(const wire::epoch_entry& in) {
    epoch_record record;
    record.number = in.number();
    for (const wire::member_entry& each : in.members()) {
        record.members.push_back({from_wire(each.life()), each.generation()});
    }
    record.witnesses = lives(in.witnesses());
    record.previous_witnesses = lives(in.previous_witnesses());
    record.witness_version = in.witness_version();
    record.write_id = in.write_id();
    return record;
}

std::string encode(const epoch_record& record) {
    wire::epoch_entry out;
    to_wire(record, out);
    return out.SerializeAsString();
}

leaf::result<epoch_record> decode_epoch(const std::string& bytes) {
    wire::epoch_entry in;
    if (!in.ParseFromString(bytes) || in.number() == 0) {
        return leaf::new_error(record_error::malformed);
    }
    return from_wire(in);
}

void to_wire(const node_info& node, wire::node_entry& out) {
    out.set_address(node.address.value());
    out.set_incarnation(node.life.value());
    out.set_agent(node.role == node_role::agent);
    out.set_data_centre(node.data_centre);
    out.set_backend_server(node.backend_server);
    out.set_leaving(node.state == node_state::leaving);
}

node_info from_wire(const wire::node_entry& in) {
    return {node_id{in.address()},
            incarnation{in.incarnation()},
            in.agent() ? node_role::agent : node_role::gateway,
            in.data_centre(),
            in.backend_server(),
            in.leaving() ? node_state::leaving : node_state::active};
}

std::string encode(const node_info& node) {
    wire::node_entry out;
    to_wire(node, out);
    return out.SerializeAsString();
}

leaf::result<node_info> decode_node(const std::string& bytes) {
    wire::node_entry in;
    if (!in.ParseFromString(bytes) || in.address().empty()) {
        return leaf::new_error(record_error::malformed);
    }
    return from_wire(in);
}

} // namespace camphorgrade::membership
