#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/service_catalogue.h>
#include <serving/store_position.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * The platform's store as the system uses it for records of its own, which outlive all of its
 * processes.
 */
namespace camphorgrade::serving {

/** A record that the store holds. A value type. */
struct stored_record {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; /**< Of the store, at the record's last change. */

    friend bool operator==(const stored_record&, const stored_record&) = default;
};

/** The records under a prefix. A value type. */
struct record_list {
    std::vector<stored_record> records;
    store_position position; /**< No later than the time at which all were read. */

    friend bool operator==(const record_list&, const record_list&) = default;
};

/** What operators and backend servers have written in a period. A value type. */
struct recorded_changes {
    std::vector<backend_server> registrations; /**< Each that was written, in order. */
    std::vector<service_catalogue> catalogues; /**< Each that was written, in order. */
    std::uint64_t era = 0;                     /**< Of the store, in which all of this happened. */

    friend bool operator==(const recorded_changes&, const recorded_changes&) = default;
};

/** A record to write. A value type. */
struct record_write {
    std::string key;
    std::string value;
    std::uint64_t expected_revision = 0; /**< Of the record that is replaced; 0: there is none. */
    std::uint64_t lease = 0;             /**< The record ends with this lease; 0: never. */

    friend bool operator==(const record_write&, const record_write&) = default;
};

/** What became of a call that changes something. */
enum class write_outcome : std::uint8_t {
    done,
    conflict,   /**< The record has another revision than expected; nothing was done. */
    lease_over, /**< There is no such lease; nothing was done. */
    refused,    /**< The store has done nothing, for another reason. */
    unknown     /**< There was no usable answer: it may have been done, or be done later. */
};

/** The store's answer to a write. A value type. */
struct write_result {
    write_outcome outcome = write_outcome::unknown;
    std::uint64_t revision = 0;           /**< Of the record, if it was written. */
    std::optional<stored_record> present; /**< On a conflict: the record as it is, if there is. */

    friend bool operator==(const write_result&, const write_result&) = default;
};

/** Why the changes since a revision can't be told. */
enum class changes_fault : std::uint8_t {
    history_gone, /**< The store doesn't keep them any more. */
    failed        /**< No usable answer. */
};

/** The changes since a revision, or why they can't be told. */
using changes_result = std::variant<recorded_changes, changes_fault>;

/** Reads and writes the system's own records. Handlers run once, from the event loop, never from
    within a call. Not thread safe. */
class record_store {
public:
    using list_handler = std::function<void(const std::optional<record_list>&)>;
    using changes_handler = std::function<void(const changes_result&)>;
    using write_handler = std::function<void(const write_result&)>;
    /** Gets the lease; empty if there is none. */
    using lease_handler = std::function<void(std::optional<std::uint64_t>)>;

    record_store() = default;
    record_store(const record_store&) = delete;
    record_store& operator=(const record_store&) = delete;
    virtual ~record_store() = default;

    /** Reads all records whose keys begin with `prefix`; gets nothing if that fails. */
    virtual void read(const std::string& prefix, list_handler done) = 0;

    /** Reads all that operators and backend servers have written after `revision`, up to now. */
    virtual void read_changes(std::uint64_t revision, changes_handler done) = 0;

    virtual void write(const record_write& record, write_handler done) = 0;

    /** Opens a lease that lasts for `ttl`. */
    virtual void open_lease(duration ttl, lease_handler done) = 0;
};

} // namespace camphorgrade::serving
