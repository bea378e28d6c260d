#pragma once

#include <delivery/once_types.h>
#include <kernel/kv.h>

#include <wire/once.pb.h>

#include <optional>

namespace camphorgrade::delivery {

/** The record in an entry of the store; nullopt when it is none. Thread safe. */
std::optional<wire::once_record> parse_once_record(const kv_entry& entry);

/** The outcome in a record. Thread safe. */
recorded_outcome read_outcome(const wire::once_outcome& stored);

/** Fills `out`. Thread safe. */
void write_outcome(const recorded_outcome& outcome, wire::once_outcome& out);

} // namespace camphorgrade::delivery
