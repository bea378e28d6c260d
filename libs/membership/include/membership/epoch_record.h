#pragma once

#include <membership/node_info.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::wire {
class epoch_entry;
class node_entry;
} // namespace camphorgrade::wire

namespace camphorgrade::membership {

/** A gateway that holds shares. `generation` is the epoch in which it joined; never used twice. */
struct epoch_member {
    node_life who;
    std::uint64_t generation = 0;

    friend bool operator==(const epoch_member&, const epoch_member&) = default;
};

/**
 * Who counts, as the key-value service holds it; changed by compare-and-swap only.
 *
 * Each epoch adds at most one member, so a generation names one member's stay. `members` keep their
 * order; the first that is not sealed audits. `previous_witnesses` is the set before the last
 * change of witnesses. A value type; all functions are thread safe.
 */
struct epoch_record {
    std::uint64_t number = 0; /**< 0: no epoch is known. */
    std::vector<epoch_member> members;
    std::vector<node_life> witnesses;
    std::vector<node_life> previous_witnesses;
    std::uint64_t witness_version = 0;
    std::string write_id; /**< Unique for each attempt to write, to read back lost answers. */

    /** The member with that generation, or null. */
    const epoch_member* find_generation(std::uint64_t generation) const;

    /** The member at that address, or null. */
    const epoch_member* find_address(const node_id& address) const;

    friend bool operator==(const epoch_record&, const epoch_record&) = default;
};

/** Why a stored value cannot be read. */
enum class record_error { malformed };

/** Fills `out`, a protobuf message, from `record`. */
void to_wire(const epoch_record& record, wire::epoch_entry& out);

/** The record that `in` holds. */
epoch_record from_wire(const wire::epoch_entry& in);

/** Fills `out`, a protobuf message, from `node`. */
void to_wire(const node_info& node, wire::node_entry& out);

/** The registration that `in` holds. */
node_info from_wire(const wire::node_entry& in);

/** The stored form. */
std::string encode(const epoch_record& record);

/** Reads the stored form; fails with record_error. */
boost::leaf::result<epoch_record> decode_epoch(const std::string& bytes);

/** The stored form of a registration. */
std::string encode(const node_info& node);

/** Reads a registration; fails with record_error. */
boost::leaf::result<node_info> decode_node(const std::string& bytes);

/** How many of `size` make a majority; 1 for an empty set, which therefore never has one. */
constexpr std::size_t majority(std::size_t size) {
    return size / 2 + 1;
}

} // namespace camphorgrade::membership
